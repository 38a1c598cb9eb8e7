"""Errors of calls to the platform."""

from dataclasses import dataclass

from crocusshunt.core import CrocusError


@dataclass(unsafe_hash=True)
class StoreError(CrocusError):
    """A call to the platform failed; base class of its errors."""

    code = 'store'


@dataclass(unsafe_hash=True)
class StoreUnavailableError(StoreError):
    """The platform refused or never got the call; no write took effect.

    :param detail: what was observed, such as the HTTP status.
    """

    code = 'store-unavailable'

    detail: str


@dataclass(unsafe_hash=True)
class StoreUnknownOutcomeError(StoreError):
    """No response came to a call; a write may have taken effect.

    :param detail: what was observed, such as the HTTP status.
    """

    code = 'store-unknown-outcome'

    detail: str


@dataclass(unsafe_hash=True)
class StoreConflictError(StoreError):
    """A row did not have the expected version; no write took effect.

    :param table: table of the row.
    :param key: key of the row.
    :param version: the version found, 0 if the row is absent.
    """

    code = 'store-conflict'

    table: str
    key: str
    version: int


@dataclass(unsafe_hash=True)
class StoreDamagedAnswerError(StoreError):
    """The response cannot be decoded; a write may have taken effect.

    :param detail: what was observed, such as the HTTP status.
    """

    code = 'store-damaged-answer'

    detail: str
