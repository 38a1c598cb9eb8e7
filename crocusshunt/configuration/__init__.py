"""Configuration revisions: changes, their history and their freshness."""

from crocusshunt.configuration._announcements import (
    Announcer,
    build_announcement,
)
from crocusshunt.configuration._changes import (
    GENESIS_DIGEST,
    Change,
    Configuration,
    apply_change,
    attach_digest,
)
from crocusshunt.configuration._errors import (
    BrokenChainError,
    BusyHeadError,
    ConfigurationError,
    DivergedHistoryError,
    Edit,
    InvalidChangeError,
    MissingHistoryError,
    MissingQuorumError,
    ProposalError,
    ReusedChangeIdError,
    RevisionConflictError,
    UnknownOutcomeError,
    UnreachableStoreError,
)
from crocusshunt.configuration._evidence import Evidence, EvidenceTracker
from crocusshunt.configuration._history import History
from crocusshunt.configuration._records import Head
from crocusshunt.configuration._repository import Repository
from crocusshunt.configuration._requests import (
    ChangeRequest,
    EditRequest,
    prepare_change,
)
from crocusshunt.configuration._row_encoding import decode_row, encode_row
from crocusshunt.configuration._snapshots import (
    DamagedSnapshotError,
    decode_snapshot,
    digest_tables,
    encode_snapshot,
    list_rows,
)

__all__ = (
    'Announcer',
    'BrokenChainError',
    'BusyHeadError',
    'Change',
    'ChangeRequest',
    'Configuration',
    'ConfigurationError',
    'DamagedSnapshotError',
    'DivergedHistoryError',
    'Edit',
    'EditRequest',
    'Evidence',
    'EvidenceTracker',
    'GENESIS_DIGEST',
    'Head',
    'History',
    'InvalidChangeError',
    'MissingHistoryError',
    'MissingQuorumError',
    'ProposalError',
    'Repository',
    'ReusedChangeIdError',
    'RevisionConflictError',
    'UnknownOutcomeError',
    'UnreachableStoreError',
    'apply_change',
    'attach_digest',
    'build_announcement',
    'decode_row',
    'decode_snapshot',
    'digest_tables',
    'encode_row',
    'encode_snapshot',
    'list_rows',
    'prepare_change',
)
