"""Rate limits of customers, enforced over all hosts together.

Each customer belongs to a shard, and each shard has a home, the host that is
its first choice. The host that holds the shard's lease, normally the home,
keeps the customer's token bucket and lends tokens to the gateways of all hosts
for a short time. A lease is valid while a majority of its witnesses supports
the holder.
"""

from crocusshunt.limits._drift import DRIFT_RATIO, add_drift, subtract_drift
from crocusshunt.limits._lease import (
    ROW_LEASE_S,
    SHARD_COUNT,
    SUPPORT_S,
    LeaseRow,
    TokenLevel,
    choose_witnesses,
    decode_lease,
    encode_lease,
    find_shard,
)
from crocusshunt.limits._ledger import (
    LOAN_LIFETIME_S,
    HomeLedger,
    LendingTerm,
    Loan,
    LoanRequest,
    Settlement,
)
from crocusshunt.limits._queue import (
    AdmissionQueue,
    AdmissionVerdict,
    BorrowSettings,
    Decision,
)
from crocusshunt.limits._held_lease import (
    HeldLease,
    LeaseCandidate,
    build_release_row,
    build_takeover_row,
    build_witness_change_row,
    may_acquire,
)
from crocusshunt.limits._token_cache import TokenCache
from crocusshunt.limits._witness import Witness

__all__ = (
    'DRIFT_RATIO',
    'LOAN_LIFETIME_S',
    'ROW_LEASE_S',
    'SHARD_COUNT',
    'SUPPORT_S',
    'AdmissionQueue',
    'AdmissionVerdict',
    'BorrowSettings',
    'Decision',
    'HeldLease',
    'HomeLedger',
    'LeaseCandidate',
    'LeaseRow',
    'LendingTerm',
    'Loan',
    'LoanRequest',
    'Settlement',
    'TokenCache',
    'TokenLevel',
    'Witness',
    'add_drift',
    'build_release_row',
    'build_takeover_row',
    'build_witness_change_row',
    'choose_witnesses',
    'decode_lease',
    'encode_lease',
    'find_shard',
    'may_acquire',
    'subtract_drift',
)
