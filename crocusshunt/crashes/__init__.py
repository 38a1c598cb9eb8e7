"""Requests under which backend servers crash, recognized when they return."""

from crocusshunt.crashes._culprits import CrashSettings, find_culprits
from crocusshunt.crashes._fingerprints import compute_fingerprint
from crocusshunt.crashes._ledger import CrashLedger, CrashReport

__all__ = (
    'CrashLedger',
    'CrashReport',
    'CrashSettings',
    'compute_fingerprint',
    'find_culprits',
)
