"""Client of the operator API."""

from crocusshunt.client._errors import (
    ApiError,
    RefusedCallError,
    UnreachableApiError,
)
from crocusshunt.client._operators import OperatorClient
from crocusshunt.client._models import Proposal, Snapshot

__all__ = (
    'ApiError',
    'OperatorClient',
    'Proposal',
    'RefusedCallError',
    'Snapshot',
    'UnreachableApiError',
)
