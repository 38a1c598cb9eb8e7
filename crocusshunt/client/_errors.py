"""Failures of calls to the operators' interface."""

from dataclasses import dataclass

from crocusshunt.api import ErrorDocument
from crocusshunt.core import CrocusError


@dataclass(unsafe_hash=True)
class ApiError(CrocusError):
    """A call to the operators' interface that failed."""

    code = 'api'


@dataclass(unsafe_hash=True)
class UnreachableApiError(ApiError):
    """No answer came; a change may or may not have been accepted.

    :param detail: what was seen.
    """

    code = 'api-unreachable'

    detail: str


@dataclass(unsafe_hash=True)
class RefusedCallError(ApiError):
    """The interface answered with an error.

    :param document: the error as the interface describes it.
    """

    code = 'api-refused'

    status: int
    document: ErrorDocument

    def describe(self) -> str:
        """Return the interface's own words."""
        return f'{self.document.code}: {self.document.detail}'
