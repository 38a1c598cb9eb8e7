"""Reading of HTTP/1.1 requests from a connection, piece by piece.

Reference: RFC 9112, "HTTP/1.1".
"""

from crocusshunt.http1._bodies import ChunkedBody, SizedBody
from crocusshunt.http1._errors import (
    HeadTooLargeError,
    MalformedRequestError,
    RequestReadError,
    UnsupportedCodingError,
)
from crocusshunt.http1._heads import RequestHead, parse_head
from crocusshunt.http1._limits import ReadLimits
from crocusshunt.http1._reader import HeadReader
from crocusshunt.http1._scanner import HeadScanner

__all__ = (
    'ChunkedBody',
    'HeadReader',
    'HeadScanner',
    'HeadTooLargeError',
    'MalformedRequestError',
    'ReadLimits',
    'RequestHead',
    'RequestReadError',
    'SizedBody',
    'UnsupportedCodingError',
    'parse_head',
)
