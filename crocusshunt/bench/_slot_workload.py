"""Workload and report of the simulation of server slots."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

# Lowest and highest value in microseconds, and significant digits.
_HISTOGRAM_RANGE = (1, 60_000_000, 3)
_MICROSECONDS = 1_000_000
_MILLISECONDS = 1000
_P99 = 99


@dataclass(frozen=True, slots=True)
class SlotWorkload:
    """Workload, gateways and servers of a simulation.

    :param slots: slots of each server.
    :param deadline_s: longest wait before a request is refused, in seconds.

    :param load: fraction of all slots that the offered load occupies.
    :param service_s: mean time of one request at a server, in seconds.
    :param link_s: one-way time between gateway and server, in seconds.
    :param max_sheds: attempts at servers without a free slot before a request
        waits.
    :param retry_s: pause before a waiting request tries again, in seconds.
    :param is_adaptive: whether gateways lower the limit of a server that
        sheds a request.
    """

    seed: int
    requests: int = 20_000
    gateways: int = 10
    slots: tuple[int, ...] = (4, 5, 6, 4, 5, 6, 4, 5, 6, 4, 5, 6)
    load: float = 0.85
    service_s: float = 0.05
    link_s: float = 0.001
    deadline_s: float = 3
    max_sheds: int = 4
    is_adaptive: bool = False
    retry_s: float = 0.01

    @property
    def requests_per_s(self) -> float:
        """Return the offered rate in requests per second."""
        return self.load * sum(self.slots) / self.service_s


@dataclass(slots=True)
class SlotReport:
    """Waits and outcomes of the requests.

    :param waits: waits for a slot, in microseconds.
    :param sent: attempts sent to servers."""

    waits: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(*_HISTOGRAM_RANGE),
    )
    refused: int = 0
    sent: int = 0
    offered: int = 0

    @property
    def p99_wait_ms(self) -> float:
        """Return the 99th percentile of the waits for a slot, in ms."""
        wait_us: float = self.waits.get_value_at_percentile(_P99)
        return wait_us / _MILLISECONDS

    @property
    def refused_ratio(self) -> float:
        """Return the fraction of the requests that was refused."""
        return self.refused / self.offered

    @property
    def sent_per_request(self) -> float:
        """Return the mean number of attempts per request."""
        return self.sent / self.offered

    def record_wait(self, seconds: float) -> None:
        """Record the wait of a request that got a slot."""
        self.waits.record_value(max(1, int(seconds * _MICROSECONDS)))
