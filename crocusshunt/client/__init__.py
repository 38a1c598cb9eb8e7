"""Client of the operators' interface."""

from crocusshunt.client._errors import (
    ApiError,
    RefusedCallError,
    UnreachableApiError,
)
from crocusshunt.client._operators import OperatorClient
from crocusshunt.client._values import Proposal, Snapshot

__all__ = (
    'ApiError',
    'OperatorClient',
    'Proposal',
    'RefusedCallError',
    'Snapshot',
    'UnreachableApiError',
)
