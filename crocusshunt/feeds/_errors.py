"""Failures of calls to a store that has feeds."""

from dataclasses import dataclass
from typing import ClassVar

from crocusshunt.core import CrocusError


@dataclass(unsafe_hash=True)
class FeedError(CrocusError):
    """A call to the store gave no usable answer.

    :param detail: status or name of the underlying error.
    """

    code: ClassVar[str] = 'feed-failed'

    detail: str


@dataclass(unsafe_hash=True)
class FeedRefusedError(FeedError):
    """The store refused the call; nothing was done."""

    code = 'feed-refused'


@dataclass(unsafe_hash=True)
class FeedUnreachableError(FeedError):
    """No answer came; a write may have been done."""

    code = 'feed-unreachable'


@dataclass(unsafe_hash=True)
class FeedMalformedError(FeedError):
    """The answer could not be decoded."""

    code = 'feed-malformed'


@dataclass(unsafe_hash=True)
class HistoryLostError(FeedError):
    """The changes since a version are no longer kept: read the table anew."""

    code = 'feed-history-lost'
