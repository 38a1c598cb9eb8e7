"""Local copies of a store's tables, kept up to date through its feeds."""

from crocusshunt.feeds._errors import (
    FeedError,
    FeedMalformedError,
    FeedOversizedError,
    FeedRefusedError,
    FeedUnreachableError,
    HistoryLostError,
)
from crocusshunt.feeds._follower import Follower, FollowerSettings
from crocusshunt.feeds._image import TableImage
from crocusshunt.feeds._progress import CallProgress
from crocusshunt.feeds._rows import (
    MAX_WRITE_COUNT,
    Changes,
    FeedStore,
    Row,
    RowWrite,
)
from crocusshunt.feeds._versions import (
    MAX_NUMBER,
    find_era,
    find_number,
    join_version,
)

__all__ = (
    'MAX_NUMBER',
    'MAX_WRITE_COUNT',
    'CallProgress',
    'Changes',
    'FeedError',
    'FeedMalformedError',
    'FeedOversizedError',
    'FeedRefusedError',
    'FeedStore',
    'FeedUnreachableError',
    'Follower',
    'FollowerSettings',
    'HistoryLostError',
    'Row',
    'RowWrite',
    'TableImage',
    'find_era',
    'find_number',
    'join_version',
)
