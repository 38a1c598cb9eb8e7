"""Generates requests of customers and sends them to simulated hosts."""

import asyncio
import random
from dataclasses import dataclass, field

from result import Ok

from crocusshunt.bench._simulation._fleet import LimitFleet
from crocusshunt.gateway import LimitUnavailableError

_NEXT_HOST_WEIGHT_RATIO = 0.5
_MAX_WAIT_S = 3
_SETTLE_S = 5


@dataclass(frozen=True, slots=True)
class Load:
    """Load that a customer offers.

    :param per_s: requests per second over all hosts.
    :param start_s: time of the start, in seconds.
    :param duration_s: duration, in seconds.
    """

    customer: str
    per_s: float
    duration_s: float
    start_s: float = 5


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrives at a host.

    :param at: time of the arrival, in seconds.
    :param host: number of the host.
    """

    at: float
    host: int


@dataclass(slots=True)
class Tally:
    """Outcomes of the requests of a customer.

    :param admitted: times of admissions, in seconds.
    :param waits: time from arrival to admission, in seconds.
    :param refused: times of refusals because of the rate, in seconds.
    :param unavailable: times of refusals because no host could lend, in
        seconds.
    """

    admitted: list[float] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    unavailable: list[float] = field(default_factory=list)

    def measure_refusals(self) -> float:
        """Return the share of requests refused, in percent."""
        lost = len(self.refused) + len(self.unavailable)
        return 100 * lost / max(1, lost + len(self.admitted))


def create_arrivals(
    load: Load,
    hosts: int,
    source: random.Random,
) -> tuple[Arrival, ...]:
    """Return Poisson arrivals, skewed towards the hosts of low number.

    Each host gets on average half as many as the host before it.
    """
    weights = [_NEXT_HOST_WEIGHT_RATIO**number for number in range(hosts)]
    arrivals: list[Arrival] = []
    now = load.start_s
    while True:
        now += source.expovariate(load.per_s)
        if now > load.start_s + load.duration_s:
            return tuple(arrivals)
        host = source.choices(range(hosts), weights)[0]
        arrivals.append(Arrival(now, host))


async def send_requests(
    fleet: LimitFleet,
    customer: str,
    arrivals: tuple[Arrival, ...],
) -> Tally:
    """Send requests to the fleet and return their outcomes.

    Requests for a dead host go to the next live one.
    """
    tally = Tally()
    tasks = []
    loop = asyncio.get_running_loop()
    for arrival in arrivals:
        await asyncio.sleep(max(0, arrival.at - loop.time()))
        tasks.append(
            asyncio.create_task(_send(fleet, customer, arrival.host, tally)),
        )
    await asyncio.sleep(_SETTLE_S)
    await asyncio.gather(*tasks)
    return tally


async def _send(
    fleet: LimitFleet,
    customer: str,
    number: int,
    tally: Tally,
) -> None:
    loop = asyncio.get_running_loop()
    arrived_at = loop.time()
    while f'h{number}' not in fleet.hosts:
        number = (number + 1) % fleet.layout.hosts
    limiter = fleet.hosts[f'h{number}'].limiter
    taken = await limiter.try_take(customer, _MAX_WAIT_S)
    now = loop.time()
    if isinstance(taken, Ok):
        tally.admitted.append(now)
        tally.waits.append(now - arrived_at)
    elif isinstance(taken.err_value, LimitUnavailableError):
        tally.unavailable.append(now)
    else:
        tally.refused.append(now)
