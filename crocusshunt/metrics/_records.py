"""Record of one ended request, and its form in the logs."""

from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

import msgspec

from crocusshunt.logs import log_event

_EVENT = 'request ended'
_STATUS_CLIENT_ERROR = 400
_STATUS_SERVER_ERROR = 500
_STATUS_TOO_MANY = 429


class OutcomeKind(str, Enum):
    """What is known about a request that has ended."""

    answered = 'answered'
    not_run = 'not_run'
    unknown = 'unknown'
    cancelled = 'cancelled'


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """One request, from its first byte to its outcome.

    :param time: when it arrived, in seconds since the Unix epoch.
    :param duration_ms: from arrival to outcome, in milliseconds.
    :param region: region of the gateway.
    :param host: host of the gateway.
    :param route: empty if no route was found.
    :param customer: empty on routes open to all, or if refused before.
    :param server: last backend server tried, empty if none was.
    :param attempts: number of backend servers tried.
    :param code: machine-readable reason, empty if answered.
    :param status: HTTP status for the caller.
    """

    request_id: str
    time: float
    duration_ms: float
    region: str
    host: str
    outcome: OutcomeKind
    status: int
    route: str = ''
    customer: str = ''
    pool: str = ''
    server: str = ''
    attempts: int = 0
    code: str = ''

    @property
    def is_refused(self) -> bool:
        """Tell whether it was not run for a reason that is not its own.

        >>> EndedRequest(
        ...     'r1', 0, 1, 'addis', 'h1', OutcomeKind.not_run, 429,
        ... ).is_refused
        True
        """
        if self.outcome is not OutcomeKind.not_run:
            return False
        is_own_fault = (
            _STATUS_CLIENT_ERROR <= self.status < _STATUS_SERVER_ERROR
        )
        return self.status == _STATUS_TOO_MANY or not is_own_fault


class Recorder(Protocol):
    """Takes each ended request once."""

    def record(self, ended: EndedRequest) -> None:
        """Take a request that has ended."""


class _Line(msgspec.Struct, frozen=True):
    event: str


def log_request(ended: EndedRequest, **inputs: Any) -> None:
    """Write a request to the logs, from which it can be parsed again.

    :param inputs: what decided its course, for whoever reads the line.
    """
    fields = msgspec.to_builtins(ended)
    arrived = fields.pop('time')
    log_event(_EVENT, arrived=arrived, **fields, **inputs)


def parse_request(line: str) -> EndedRequest | None:
    """Return the request of a log line, None for any other line.

    >>> parse_request('{"event":"started"}') is None
    True
    """
    try:
        if msgspec.json.decode(line, type=_Line).event != _EVENT:
            return None
        fields = msgspec.json.decode(line, type=dict[str, Any])
        fields['time'] = fields.get('arrived')
        return msgspec.convert(fields, EndedRequest)
    except msgspec.DecodeError:
        return None
