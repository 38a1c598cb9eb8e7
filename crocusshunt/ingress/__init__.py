"""Bounds on what callers make a host keep, and for how long."""

from crocusshunt.ingress._ledger import Account, EndCause, Holding, HostLedger
from crocusshunt.ingress._limits import IngressLimits, create_ingress_limits

__all__ = (
    'Account',
    'EndCause',
    'Holding',
    'HostLedger',
    'IngressLimits',
    'create_ingress_limits',
)
