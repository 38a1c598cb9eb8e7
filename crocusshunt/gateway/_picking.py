"""Choice of a backend server with a free slot."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.delivery import OutlierDetector, ServerLoads, choose_server
from crocusshunt.gateway._admission import AdmissionControl
from crocusshunt.gateway._shares import RegionSplit
from crocusshunt.routing import Priority, Server


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request that needs a slot at a server.

    :param number: order of arrival, see :meth:`SlotAllocator.create_number`.
    :param arrived_at: monotonic time of arrival, in seconds.
    :param deadline: monotonic time by which the request ends, in seconds.
    :param tried: servers that must not get the request again.
    """

    number: int
    arrived_at: float
    pool: str
    customer: str
    priority: Priority
    deadline: float
    tried: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class ServerStatistics:
    """Loads and failures of the servers, as seen from this gateway."""

    loads: ServerLoads
    outliers: OutlierDetector


class ServerPicker:
    """Chooses servers with a free slot and occupies the slot."""

    def __init__(
        self,
        admission_control: AdmissionControl,
        statistics: ServerStatistics,
        clock: Clock,
        source: random.Random,
        split: RegionSplit,
    ) -> None:
        """Use the servers of the configuration in force.

        :param split: chooses the region whose servers are preferred.
        """
        self._admission_control = admission_control
        self._statistics = statistics
        self._clock = clock
        self._source = source
        self._split = split

    def acquire(self, request: SlotRequest) -> Server | None:
        """Occupy a slot and return its server, None if none is free.

        Servers tried before are left out; servers in failure domains that
        were not tried are preferred.
        """
        servers = self._admission_control.servers.get(request.pool, ())
        now = self._clock.monotonic()
        available = self._statistics.outliers.select_available(servers, now)
        if not request.tried:
            return self._choose(request.pool, available, now)
        tried_names = {server.name for server in request.tried}
        tried_domains = {server.failure_domain for server in request.tried}
        untried = [one for one in available if one.name not in tried_names]
        in_other_domains = [
            one for one in untried if one.failure_domain not in tried_domains
        ]
        pool = request.pool
        chosen = self._choose(pool, in_other_domains, now)
        return chosen or self._choose(pool, untried, now)

    def release(self, server: Server) -> None:
        """Release a slot of a server."""
        self._statistics.loads.release(server)

    def _choose(
        self,
        pool: str,
        servers: Sequence[Server],
        now: float,
    ) -> Server | None:
        region = self._split.choose(pool)
        preferred = [one for one in servers if one.region == region]
        chosen = self._choose_among(preferred, now)
        if chosen is None and len(preferred) < len(servers):
            chosen = self._choose_among(servers, now)
        if chosen is not None:
            self._statistics.loads.acquire(chosen)
            self._split.commit(pool, chosen.region)
        return chosen

    def _choose_among(
        self,
        servers: Iterable[Server],
        now: float,
    ) -> Server | None:
        statistics = self._statistics
        return choose_server(
            servers,
            statistics.loads,
            self._source,
            lambda one: statistics.outliers.compute_share(one, now),
        )
