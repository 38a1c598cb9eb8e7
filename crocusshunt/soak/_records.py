"""What callers and backend servers see, as the checks read it."""

from dataclasses import dataclass, field
from enum import Enum

# A host that was undisturbed for so long keeps all bounds.
TOUCH_S = 4


class Ending(str, Enum):
    """How a call ended for its caller."""

    answered = 'answered'
    foreign = 'foreign'
    short = 'short'
    refused = 'refused'
    failed = 'failed'
    closed = 'closed'
    unreachable = 'unreachable'


@dataclass(slots=True)
class Call:
    """One request of a caller; times are monotonic seconds.

    :param key: the caller's key.
    :param host: name of the host that it was sent to.
    :param status: of the answer, 0 without one.
    """

    request_id: str
    host: str
    key: str
    is_idempotent: bool
    sent_at: float
    ended_at: float = 0
    ending: Ending = Ending.closed
    status: int = 0


@dataclass(frozen=True, slots=True)
class Run:
    """One request that a backend server began to work on.

    :param customer: as the host told the server.
    :param shows_key: whether a header held the caller's key.
    """

    request_id: str
    server: str
    pool: str
    at: float
    customer: str
    shows_key: bool


class ChangeKind(str, Enum):
    """What the store acknowledged."""

    withdrawn_key = 'withdrawn-key'
    draining_server = 'draining-server'
    moved_route = 'moved-route'


@dataclass(frozen=True, slots=True)
class Change:
    """A change and the moment of its acknowledgement.

    :param subject: the key, the server, or the pool that gets no more.
    """

    kind: ChangeKind
    subject: str
    at: float


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault, as the checks must know it.

    :param host: the disturbed host, empty for all.
    :param is_planned: whether it was a graceful stop, which excuses nothing
        but its end.
    """

    kind: str
    host: str
    start_at: float
    end_at: float
    is_planned: bool = False


@dataclass(slots=True)
class Records:
    """Everything seen in one soak."""

    calls: list[Call] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    keys: dict[str, str] = field(default_factory=dict)

    def is_calm(self, host: str, start_at: float, end_at: float) -> bool:
        """Tell whether no fault touched a host, or all, in a span."""
        return not any(
            one.host in {'', host}
            and one.start_at <= end_at
            and one.end_at >= start_at
            for one in self.disturbances
        )
