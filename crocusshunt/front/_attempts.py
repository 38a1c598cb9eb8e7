"""One attempt to have a request answered, and how it ended."""

from dataclasses import dataclass
from enum import Enum

from crocusshunt.upstream import UpstreamAnswer, UpstreamRequest


class Verdict(Enum):
    """Classification of one attempt.

    ``shed`` means the server refused the request for lack of room,
    ``misdirected`` that another server has the address, ``broken`` that no
    complete, signed response came, ``withheld`` that the server took no
    requests any more when the request was to be sent. After ``shed``,
    ``misdirected``, ``unreachable`` and ``withheld`` it is certain that the
    server did not execute the request.
    """

    answered = 'answered'
    failed = 'failed'
    shed = 'shed'
    misdirected = 'misdirected'
    unreachable = 'unreachable'
    withheld = 'withheld'
    broken = 'broken'
    timed_out = 'timed-out'

    @property
    def may_have_run(self) -> bool:
        """Tell whether the server may have begun to execute the request."""
        return self not in _NOT_EXECUTED


_NOT_EXECUTED = frozenset(
    (
        Verdict.shed,
        Verdict.misdirected,
        Verdict.unreachable,
        Verdict.withheld,
    )
)
_NOT_SENT = frozenset((Verdict.unreachable, Verdict.withheld))
_UNANSWERED = frozenset(
    (Verdict.unreachable, Verdict.broken, Verdict.timed_out)
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one attempt.

    :param response: the server's own response, if a complete one came.
    :param detail: cause of a failure, for the log.
    :param took_s: time from sending the request on an open connection to its
        response, in seconds.
    :param is_connection_lost: whether the server ended the connection before
        a complete response came.
    """

    verdict: Verdict
    response: UpstreamAnswer | None = None
    detail: str = ''
    took_s: float = 0
    is_connection_lost: bool = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether the server may have begun to execute the request."""
        return self.verdict.may_have_run

    @property
    def has_arrived(self) -> bool:
        """Tell whether the request may have reached the server."""
        return self.verdict not in _NOT_SENT

    @property
    def is_unanswered(self) -> bool:
        """Tell whether no complete and valid response came."""
        return self.verdict in _UNANSWERED


@dataclass(frozen=True, slots=True)
class RequestTemplate:
    """The parts of a request that are the same in every attempt.

    :param headers: without those that depend on the server or the time.
    :param fingerprint: the same for each repeat of the request by its caller.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    fingerprint: str

    @property
    def encoded_id(self) -> bytes:
        """Return the request's id as it is sent."""
        return _encode(self.request_id)

    def build(self, added: list[tuple[str, str]]) -> UpstreamRequest:
        """Return the request for one server.

        :param added: headers for this server and moment.
        """
        headers = [*self.headers, *added]
        if self.body is not None:
            headers.append(('Content-Length', str(len(self.body))))
        return UpstreamRequest(
            self.encoded_id,
            _encode(self.method),
            _encode(self.target),
            tuple((_encode(name), _encode(text)) for name, text in headers),
            self.body,
        )


def _encode(text: str) -> bytes:
    return text.encode('utf-8', 'surrogateescape')
