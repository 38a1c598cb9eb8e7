"""Failures of the platform."""

from dataclasses import dataclass

from crocusshunt.core import CrocusError


@dataclass(unsafe_hash=True)
class StoreError(CrocusError):
    """A call to the platform that gave no usable answer."""

    code = 'store'


@dataclass(unsafe_hash=True)
class StoreUnavailableError(StoreError):
    """The platform did not take the call; no write took effect.

    :param detail: what was seen.
    """

    code = 'store-unavailable'

    detail: str


@dataclass(unsafe_hash=True)
class StoreUnknownOutcomeError(StoreError):
    """No answer came to a call that may have taken effect.

    :param detail: what was seen.
    """

    code = 'store-unknown-outcome'

    detail: str


@dataclass(unsafe_hash=True)
class StoreConflictError(StoreError):
    """A condition of a transaction did not hold; no write took effect.

    :param table: table of the row whose version differs.
    :param key: key of the row.
    :param version: version found, 0 where the row is absent.
    """

    code = 'store-conflict'

    table: str
    key: str
    version: int


@dataclass(unsafe_hash=True)
class StoreDamagedAnswerError(StoreError):
    """An answer that cannot be decoded; a write may have taken effect.

    :param detail: what was seen.
    """

    code = 'store-damaged-answer'

    detail: str
