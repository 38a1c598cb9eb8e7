"""Bounds on what callers make a host keep, and for how long."""

from crocusshunt.ingress._ledger import Account, EndCause, Holding, HostLedger
from crocusshunt.ingress._limits import IngressLimits, create_ingress_limits
from crocusshunt.ingress._roster import Roster

__all__ = (
    'Account',
    'EndCause',
    'Holding',
    'HostLedger',
    'IngressLimits',
    'Roster',
    'create_ingress_limits',
)
