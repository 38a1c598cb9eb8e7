"""Client of the operators' interface."""

from crocusshunt.client._operators import (
    ApiError,
    Snapshot,
    OperatorClient,
    Proposal,
    RefusedCallError,
    UnreachableApiError,
)

__all__ = (
    'ApiError',
    'OperatorClient',
    'Proposal',
    'RefusedCallError',
    'Snapshot',
    'UnreachableApiError',
)
