"""Errors of requests that can't be read.

Their texts hold nothing that was received: it may contain a caller's key.
"""

from http import HTTPStatus


class RequestReadError(Exception):
    """A request can't be read, nor can what follows it on its connection.

    ``status`` is that of the response.
    """

    status = HTTPStatus.BAD_REQUEST


class MalformedRequestError(RequestReadError):
    """A request doesn't follow the protocol."""


class HeadTooLargeError(RequestReadError):
    """A request line, the fields of a request or its trailers are too long."""

    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class UnsupportedCodingError(RequestReadError):
    """A body has a transfer coding other than chunked."""

    status = HTTPStatus.NOT_IMPLEMENTED
