"""Workload and report of the simulation of room."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

_HISTOGRAM = (1, 60_000_000, 3)
_MICROSECONDS = 1_000_000
_MILLISECONDS = 1000
_P99 = 99


@dataclass(frozen=True, slots=True)
class RoomWorkload:
    """What is offered to whom.

    :param load: part of all slots that the offered work fills.
    :param service_s: mean time of one request at a server, in seconds.
    :param link_s: one-way time between gateway and server, in seconds.
    :param sheds: attempts at servers without room before a request waits.
    :param retry_s: pause before a waiting request tries again, in seconds.
    :param is_adaptive: whether a server that sheds lowers its limit.
    """

    seed: int
    requests: int = 20_000
    gateways: int = 10
    slots: tuple[int, ...] = (4, 5, 6, 4, 5, 6, 4, 5, 6, 4, 5, 6)
    load: float = 0.85
    service_s: float = 0.05
    link_s: float = 0.001
    deadline_s: float = 3
    sheds: int = 4
    is_adaptive: bool = False
    retry_s: float = 0.01

    @property
    def per_second(self) -> float:
        """Return the offered rate."""
        return self.load * sum(self.slots) / self.service_s


@dataclass(slots=True)
class RoomReport:
    """What the requests saw."""

    waits: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(*_HISTOGRAM),
    )
    refused: int = 0
    sent: int = 0
    offered: int = 0

    @property
    def p99_wait_ms(self) -> float:
        """Return the 99th percentile of the wait for a slot."""
        wait_us: float = self.waits.get_value_at_percentile(_P99)
        return wait_us / _MILLISECONDS

    @property
    def refused_share(self) -> float:
        """Return the part of the requests that was refused."""
        return self.refused / self.offered

    @property
    def sent_per_request(self) -> float:
        """Return how many attempts one request took."""
        return self.sent / self.offered

    def note_wait(self, seconds: float) -> None:
        """Count the wait of a request that got a slot."""
        self.waits.record_value(max(1, int(seconds * _MICROSECONDS)))
