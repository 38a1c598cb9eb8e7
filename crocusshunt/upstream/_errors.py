"""Failures of exchanges with backend servers."""

from dataclasses import dataclass

from crocusshunt.core import CrocusError


@dataclass(unsafe_hash=True)
class UpstreamError(CrocusError):
    """An exchange with a backend server failed.

    :param detail: what ended it.
    """

    code = 'upstream-failed'

    detail: str


@dataclass(unsafe_hash=True)
class NotConnectedError(UpstreamError):
    """No connection was opened, so nothing was sent."""

    code = 'server-unreachable'


@dataclass(unsafe_hash=True)
class AnswerBrokenError(UpstreamError):
    """The answer is missing, incomplete or no HTTP; the request may have run.

    :param is_silent: whether no byte of an answer came.
    """

    code = 'answer-broken'

    is_silent: bool = True
