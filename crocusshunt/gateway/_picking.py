"""Choice of a server with room, at once."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.delivery import OutlierDetector, ServerLoads, choose_server
from crocusshunt.gateway._admission import AdmissionControl
from crocusshunt.gateway._shares import RegionSplit
from crocusshunt.routing import Priority, Server


@dataclass(frozen=True, slots=True)
class RoomRequest:
    """Who asks for room.

    :param deadline: monotonic time by which the request ends.
    :param number: order of arrival, see :meth:`Rooms.create_number`.
    :param arrived_at: monotonic time of arrival.
    :param tried: servers that the request was sent to before.
    """

    number: int
    arrived_at: float
    pool: str
    customer: str
    priority: Priority
    deadline: float
    tried: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class ServerState:
    """What this gateway saw of the servers."""

    loads: ServerLoads
    outliers: OutlierDetector


class ServerPicker:
    """Takes slots of the servers that this gateway sees with room."""

    def __init__(
        self,
        admission_control: AdmissionControl,
        state: ServerState,
        clock: Clock,
        source: random.Random,
        split: RegionSplit,
    ) -> None:
        """Use the servers of the configuration in force.

        :param split: names the region whose servers come first.
        """
        self._admission_control = admission_control
        self._state = state
        self._clock = clock
        self._source = source
        self._split = split

    def acquire(self, request: RoomRequest) -> Server | None:
        """Return a server with room, if there is one at once.

        Servers tried before are left out; other failure domains than
        theirs come first.
        """
        servers = self._admission_control.servers.get(request.pool, ())
        now = self._clock.monotonic()
        is_open = self._state.outliers.select_available(servers, now)
        if not request.tried:
            return self._choose(request.pool, is_open, now)
        names = {server.name for server in request.tried}
        domains = {server.failure_domain for server in request.tried}
        untried = [one for one in is_open if one.name not in names]
        apart = [one for one in untried if one.failure_domain not in domains]
        pool = request.pool
        chosen = self._choose(pool, apart, now)
        return chosen or self._choose(pool, untried, now)

    def release(self, server: Server) -> None:
        """Give a slot back."""
        self._state.loads.release(server)

    def _choose(
        self,
        pool: str,
        servers: Sequence[Server],
        now: float,
    ) -> Server | None:
        region = self._split.choose(pool)
        near = [one for one in servers if one.region == region]
        chosen = self._choose_among(near, now)
        if chosen is None and len(near) < len(servers):
            chosen = self._choose_among(servers, now)
        if chosen is not None:
            self._state.loads.acquire(chosen)
            self._split.commit(pool, chosen.region)
        return chosen

    def _choose_among(
        self,
        servers: Iterable[Server],
        now: float,
    ) -> Server | None:
        state = self._state
        return choose_server(
            servers,
            state.loads,
            self._source,
            lambda one: state.outliers.compute_share(one, now),
        )
