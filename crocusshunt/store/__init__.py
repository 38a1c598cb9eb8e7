"""Interfaces of the platform's table service, object store and host list."""

from crocusshunt.store._errors import (
    StoreConflictError,
    StoreDamagedAnswerError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from crocusshunt.store._values import (
    ABSENT,
    HostEntry,
    HostState,
    ObjectStore,
    Platform,
    Query,
    StoredRow,
    TableStore,
    Write,
)

__all__ = (
    'ABSENT',
    'HostEntry',
    'HostState',
    'ObjectStore',
    'Platform',
    'Query',
    'StoreConflictError',
    'StoreDamagedAnswerError',
    'StoreError',
    'StoreUnavailableError',
    'StoreUnknownOutcomeError',
    'StoredRow',
    'TableStore',
    'Write',
)
