"""Rate and burst of customers, counted over all hosts together."""

from crocusshunt.limits._drift import DRIFT_RATIO, lengthen, shorten
from crocusshunt.limits._lease import (
    ROW_LEASE_S,
    SHARD_COUNT,
    SUPPORT_S,
    LeaseRow,
    Level,
    choose_witnesses,
    decode_lease,
    encode_lease,
    find_shard,
)
from crocusshunt.limits._ledger import (
    LOAN_LIFETIME_S,
    HomeLedger,
    Loan,
    LoanRequest,
    Settlement,
    Tenure,
)
from crocusshunt.limits._queue import (
    AdmissionQueue,
    Decision,
    QueueSettings,
    Verdict,
)
from crocusshunt.limits._tenancy import (
    Candidate,
    Tenancy,
    may_acquire,
    release,
    replace_witnesses,
    succeed,
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
    'Candidate',
    'Decision',
    'HomeLedger',
    'LeaseRow',
    'Level',
    'Loan',
    'LoanRequest',
    'QueueSettings',
    'Settlement',
    'Tenancy',
    'Tenure',
    'Verdict',
    'TokenCache',
    'Witness',
    'choose_witnesses',
    'decode_lease',
    'encode_lease',
    'find_shard',
    'lengthen',
    'may_acquire',
    'release',
    'replace_witnesses',
    'shorten',
    'succeed',
)
