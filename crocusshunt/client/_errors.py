"""Errors of calls to the operator API."""

from dataclasses import dataclass

from crocusshunt.api import ErrorDocument
from crocusshunt.core import CrocusError


@dataclass(unsafe_hash=True)
class ApiError(CrocusError):
    """A failed call to the operator API."""

    code = 'api'


@dataclass(unsafe_hash=True)
class UnreachableApiError(ApiError):
    """No readable answer came; a change may or may not have been accepted.

    :param detail: description of the error.
    """

    code = 'api-unreachable'

    detail: str


@dataclass(unsafe_hash=True)
class RefusedCallError(ApiError):
    """The API answered with an error.

    :param status: HTTP status of the answer.
    :param document: body of the answer, which describes the error.
    """

    code = 'api-refused'

    status: int
    document: ErrorDocument

    def describe(self) -> str:
        """Return the error code and description that the API gave."""
        return f'{self.document.code}: {self.document.detail}'
