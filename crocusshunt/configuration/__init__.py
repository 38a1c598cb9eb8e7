"""Revisions of the configuration: changes, history and evidence."""

from crocusshunt.configuration._changes import (
    GENESIS_DIGEST,
    Change,
    Configuration,
    Edit,
    apply_change,
    seal_change,
)
from crocusshunt.configuration._errors import (
    BrokenChainError,
    ConfigurationError,
    InvalidChangeError,
    MissingHistoryError,
    ProposalError,
    RevisionConflictError,
    UnknownOutcomeError,
    UnreachableStoreError,
)
from crocusshunt.configuration._evidence import Evidence, EvidenceLog
from crocusshunt.configuration._history import History
from crocusshunt.configuration._repository import (
    ChangeRequest,
    EditRequest,
    Head,
    Repository,
)
from crocusshunt.configuration._rows import decode_row, encode_row

__all__ = (
    'GENESIS_DIGEST',
    'BrokenChainError',
    'Change',
    'ChangeRequest',
    'Configuration',
    'ConfigurationError',
    'Edit',
    'EditRequest',
    'Evidence',
    'EvidenceLog',
    'Head',
    'History',
    'InvalidChangeError',
    'MissingHistoryError',
    'ProposalError',
    'Repository',
    'RevisionConflictError',
    'UnknownOutcomeError',
    'UnreachableStoreError',
    'apply_change',
    'decode_row',
    'encode_row',
    'seal_change',
)
