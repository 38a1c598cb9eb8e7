"""The platform's table service, object store and list of hosts."""

from crocusshunt.store._client import HttpPlatform, PlatformSettings
from crocusshunt.store._errors import (
    StoreConflictError,
    StoreDamagedAnswerError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from crocusshunt.store._policy import CallPolicy, CircuitState, Tally
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
    'CallPolicy',
    'CircuitState',
    'HostEntry',
    'HostState',
    'HttpPlatform',
    'ObjectStore',
    'Platform',
    'PlatformSettings',
    'Query',
    'StoreConflictError',
    'StoreDamagedAnswerError',
    'StoreError',
    'StoreUnavailableError',
    'StoreUnknownOutcomeError',
    'StoredRow',
    'TableStore',
    'Tally',
    'Write',
)
