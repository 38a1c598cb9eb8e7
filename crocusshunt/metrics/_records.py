"""Records of ended requests, written to and parsed from the logs."""

from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

import msgspec

from crocusshunt.logs import log_event

_EVENT = 'request ended'
_RELAYED_EVENT = 'relayed request ended'
_STATUS_CLIENT_ERROR = 400
_STATUS_SERVER_ERROR = 500
_STATUS_TOO_MANY = 429


class OutcomeKind(str, Enum):
    """What is known about the execution of a request that has ended.

    * ``answered``: it ran, and the caller got the whole response.
    * ``not_run``: no backend server ran it.
    * ``unknown``: a backend server may have run it.
    * ``cancelled``: the caller left; a backend server may have run it.
    """

    answered = 'answered'
    not_run = 'not_run'
    unknown = 'unknown'
    cancelled = 'cancelled'


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """Record of one request that has ended.

    :param time: when it arrived, in seconds since the Unix epoch.
    :param duration_ms: from arrival to outcome, in milliseconds.
    :param region: region of the gateway.
    :param host: host of the gateway.
    :param route: name of its route, empty if none matches.
    :param customer: empty on public routes, or if the request was refused
        before the customer was known.
    :param server: last backend server tried, empty if none was.
    :param attempts: number of backend servers tried.
    :param code: machine-readable reason, empty if answered.
    :param status: HTTP status of the response to the caller.
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
        """Tell whether it was not run, through no fault of its own.

        Requests with a status of 4xx are at fault themselves, except 429.

        >>> EndedRequest(
        ...     'r1', 0, 1, 'addis', 'h1', OutcomeKind.not_run, 429,
        ... ).is_refused
        True
        """
        if self.outcome is not OutcomeKind.not_run:
            return False
        is_client_error = (
            _STATUS_CLIENT_ERROR <= self.status < _STATUS_SERVER_ERROR
        )
        return self.status == _STATUS_TOO_MANY or not is_client_error


class Recorder(Protocol):
    """Interface of whatever records ended requests, each of them once."""

    def record(self, ended: EndedRequest) -> None:
        """Record a request that has ended."""


class _EventLine(msgspec.Struct, frozen=True):
    event: str


def log_request(ended: EndedRequest, **inputs: Any) -> None:
    """Write a request to the logs; see :func:`parse_request`.

    A request that another host passed on counts there, and is written under
    another name here.

    :param inputs: further fields: what the decisions on it were based on.
    """
    fields = msgspec.to_builtins(ended)
    arrived = fields.pop('time')
    event = _RELAYED_EVENT if inputs.get('relayed_by') else _EVENT
    log_event(event, arrived=arrived, **fields, **inputs)


def parse_request(line: str) -> EndedRequest | None:
    """Return the request that a log line records, None for other lines.

    >>> parse_request('{"event":"started"}') is None
    True
    """
    try:
        if msgspec.json.decode(line, type=_EventLine).event != _EVENT:
            return None
        fields = msgspec.json.decode(line, type=dict[str, Any])
        fields['time'] = fields.get('arrived')
        return msgspec.convert(fields, EndedRequest)
    except msgspec.DecodeError:
        return None
