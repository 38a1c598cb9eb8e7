"""Errors of calls to a store that offers change feeds."""

from dataclasses import dataclass
from typing import ClassVar

from crocusshunt.core import CrocusError


@dataclass(unsafe_hash=True)
class FeedError(CrocusError):
    """A call to the store returned no usable answer.

    :param detail: status or name of the underlying error.
    """

    code: ClassVar[str] = 'feed-failed'

    detail: str


@dataclass(unsafe_hash=True)
class FeedRefusedError(FeedError):
    """The store refused the call; nothing was read or written."""

    code = 'feed-refused'


@dataclass(unsafe_hash=True)
class FeedUnreachableError(FeedError):
    """No answer came; a write may have been carried out nevertheless."""

    code = 'feed-unreachable'


@dataclass(unsafe_hash=True)
class FeedMalformedError(FeedError):
    """The answer could not be decoded."""

    code = 'feed-malformed'


@dataclass(unsafe_hash=True)
class FeedOversizedError(FeedError):
    """The changes take more bytes than the table; they were not read."""

    code = 'feed-oversized'


@dataclass(unsafe_hash=True)
class HistoryLostError(FeedError):
    """The store no longer has the changes since a version.

    The whole table must be read again.
    """

    code = 'feed-history-lost'
