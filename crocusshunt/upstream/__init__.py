"""Connections to backend servers, and single exchanges on them."""

from crocusshunt.upstream._buffering import (
    ANSWER_SHARE,
    FREE_ANSWER_BYTES,
    BufferLimit,
)
from crocusshunt.upstream._connection import Connection
from crocusshunt.upstream._errors import (
    AnswerBrokenError,
    ConnectionLostError,
    NoRoomError,
    NotConnectedError,
    UpstreamError,
)
from crocusshunt.upstream._holds import AnswerHold
from crocusshunt.upstream._messages import (
    EchoPolicy,
    UpstreamAnswer,
    UpstreamRequest,
)
from crocusshunt.upstream._opening import open_connection
from crocusshunt.upstream._pool import ConnectionPool, PoolSettings
from crocusshunt.upstream._reading import ReadingBudget

__all__ = (
    'ANSWER_SHARE',
    'FREE_ANSWER_BYTES',
    'AnswerBrokenError',
    'AnswerHold',
    'BufferLimit',
    'Connection',
    'ConnectionLostError',
    'ConnectionPool',
    'EchoPolicy',
    'NoRoomError',
    'NotConnectedError',
    'PoolSettings',
    'ReadingBudget',
    'UpstreamAnswer',
    'UpstreamError',
    'UpstreamRequest',
    'open_connection',
)
