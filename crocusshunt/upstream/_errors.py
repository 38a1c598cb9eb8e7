"""Failures of exchanges with backend servers."""

from dataclasses import dataclass

from crocusshunt.core import CrocusError


@dataclass(unsafe_hash=True)
class UpstreamError(CrocusError):
    """An exchange with a backend server failed.

    :param detail: readable cause.
    """

    code = 'upstream-failed'

    detail: str


@dataclass(unsafe_hash=True)
class NotConnectedError(UpstreamError):
    """No connection was opened, so nothing was sent."""

    code = 'server-unreachable'


@dataclass(unsafe_hash=True)
class AnswerBrokenError(UpstreamError):
    """No complete and valid HTTP response came; the request may have run."""

    code = 'answer-broken'


@dataclass(unsafe_hash=True)
class ConnectionLostError(AnswerBrokenError):
    """The server ended the connection before a complete response came."""

    code = 'connection-lost'


@dataclass(unsafe_hash=True)
class NoRoomError(UpstreamError):
    """This host could not take a response for long; the server is well."""

    code = 'no-room-for-answer'
