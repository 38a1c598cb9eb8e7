"""Records of calls, runs, changes and faults, which the checks read."""

from dataclasses import dataclass, field
from enum import Enum

from crocusshunt.soak._server_records import (
    Arrival,
    HostCut,
    PoolRejection,
    ServerLimit,
    ServerNotice,
)

# A host must keep all time limits once it was free of faults for so long.
SETTLING_S = 4


class CallOutcome(str, Enum):
    """How a call ended for its caller.

    * ``answered``: the whole response to this call arrived.
    * ``mismatched``: the response is that of another request, or empty;
      written as ``foreign``.
    * ``truncated``: a part of the response, or a wrong one, arrived; written
      as ``short``.
    * ``refused``: the host stated that it did not run the request.
    * ``failed``: any other status than 200 and those of a refusal.
    * ``closed``: the connection broke, or no response came in time.
    * ``unreachable``: no connection could be opened.
    * ``unread``: it was sent behind a request whose response closed the
      connection, so the host states that it did not read it.
    """

    answered = 'answered'
    mismatched = 'foreign'
    truncated = 'short'
    refused = 'refused'
    failed = 'failed'
    closed = 'closed'
    unreachable = 'unreachable'
    unread = 'unread'


@dataclass(slots=True)
class Call:
    """One request of a caller; times are monotonic, in seconds.

    :param host: name of the host that it was sent to.
    :param key: API key of the caller.
    :param status: HTTP status of the response, 0 without one.
    :param path: rest of its path, after the route's prefix.
    :param prefix: of its route, empty for the usual ones.
    :param added_at: when the store acknowledged its route, None for the usual
        ones.
    """

    request_id: str
    host: str
    key: str
    is_idempotent: bool
    sent_at: float
    ended_at: float = 0
    outcome: CallOutcome = CallOutcome.closed
    status: int = 0
    path: str = 'x'
    prefix: str = ''
    added_at: float | None = None


@dataclass(frozen=True, slots=True)
class Run:
    """The processing of one request, begun by a backend server.

    :param at: monotonic time of its start, in seconds.
    :param customer: name of the customer that the host sent along.
    :param exposes_key: whether the request's headers held an API key.
    :param crash_path: path of a request that made the server crash, empty for
        other requests.
    """

    request_id: str
    server: str
    pool: str
    at: float
    customer: str
    exposes_key: bool
    crash_path: str = ''


class ChangeKind(str, Enum):
    """Kind of a change that the store acknowledged."""

    withdrawn_key = 'withdrawn-key'
    draining_server = 'draining-server'
    moved_route = 'moved-route'


@dataclass(frozen=True, slots=True)
class Change:
    """A change that the store acknowledged.

    :param subject: the key, server or pool that must get no more requests.
    :param at: monotonic time of the acknowledgement, in seconds.
    """

    kind: ChangeKind
    subject: str
    at: float


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """A span of time in which a fault may affect hosts.

    :param host: the affected host, empty for all.
    :param start_at: monotonic time of its start, in seconds.
    :param end_at: monotonic time of its end, in seconds.
    :param is_planned: whether it is a graceful stop, in which the host must
        still not cut any call.
    """

    kind: str
    host: str
    start_at: float
    end_at: float
    is_planned: bool = False


@dataclass(slots=True)
class Records:
    """Everything recorded in one soak test.

    :param customers_by_key: name of the customer that holds each API key.
    :param own_ends: ends of host processes that nobody had asked to end.
    :param program_errors: lines of hosts' logs that tell of an error of the
        program.
    """

    calls: list[Call] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    fault_intervals: list[FaultInterval] = field(default_factory=list)
    limits: list[ServerLimit] = field(default_factory=list)
    cuts: list[HostCut] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    notices: list[ServerNotice] = field(default_factory=list)
    rejections: list[PoolRejection] = field(default_factory=list)
    customers_by_key: dict[str, str] = field(default_factory=dict)
    own_ends: list[str] = field(default_factory=list)
    program_errors: list[str] = field(default_factory=list)

    def is_fault_free(self, host: str, start_at: float, end_at: float) -> bool:
        """Tell whether no fault affected a host in a span of time."""
        return not any(
            fault.host in {'', host}
            and fault.start_at <= end_at
            and fault.end_at >= start_at
            for fault in self.fault_intervals
        )

    def has_run(self, host: str, start_at: float, end_at: float) -> bool:
        """Tell whether a host ran and reached servers all the time."""
        is_cut = any(
            cut.host == host
            and cut.start_at <= end_at
            and cut.end_at >= start_at
            for cut in self.cuts
        )
        return not is_cut and not any(
            fault.host == host
            and 'link' not in fault.kind
            and fault.start_at <= end_at
            and fault.end_at >= start_at
            for fault in self.fault_intervals
        )

    def may_relay(self, start_at: float, end_at: float) -> bool:
        """Tell whether hosts may have passed on requests they could not send.

        A host does so while it does not reach some servers.
        """
        has_crashed = any(
            run.crash_path and start_at - SETTLING_S <= run.at <= end_at
            for run in self.runs
        )
        return has_crashed or any(
            fault.kind.startswith('server-link')
            and fault.start_at <= end_at
            and fault.end_at >= start_at - SETTLING_S
            for fault in self.fault_intervals
        )

    def is_rejected(self, at: float) -> bool:
        """Tell whether all servers of a pool may have rejected a request."""
        return any(one.start_at <= at <= one.end_at for one in self.rejections)

    def is_withdrawn(self, key: str) -> bool:
        """Tell whether a key was withdrawn at any time."""
        return any(
            change.kind is ChangeKind.withdrawn_key and change.subject == key
            for change in self.changes
        )
