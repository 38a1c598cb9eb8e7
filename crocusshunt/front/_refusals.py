"""What a refused request is told, and what the log says of it."""

from dataclasses import dataclass, replace

from crocusshunt.core import Clock
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._eligible_servers import EligibleServers
from crocusshunt.front._placement import Placer
from crocusshunt.front._placements import (
    CAUSE_BACKOFF,
    Placement,
    PlacementRequest,
)
from crocusshunt.front._placer_state import PlacerState
from crocusshunt.placement import Candidate, SlotRate, TrackedServer

_RULE_OBJECT_NOT_HELD = 'object-not-held'
_RULE_SERVER_LIMIT = 'server-limit'
_MAX_PASSED_OVER_COUNT = 3
# Another server may take a request that one turned away after this time.
_OTHER_SERVER_RETRY_S = 0.2


@dataclass(frozen=True, slots=True)
class PassedOver:
    """A server with a free slot that a refused request did not get.

    :param load: estimated number of requests running or waiting there.
    :param rule: why the slot was not taken.
    """

    name: str
    load: float
    slots: int
    rule: str


class RefusalAdvisor:
    """Tells when refused requests may come back, and what they did not get."""

    def __init__(
        self,
        cluster: ClusterState,
        state: PlacerState,
        placer: Placer,
        eligible: EligibleServers,
        clock: Clock,
    ) -> None:
        """Use the components of a host."""
        self._cluster = cluster
        self._state = state
        self._placer = placer
        self._eligible = eligible
        self._clock = clock

    def schedule_return(
        self, request: PlacementRequest, placement: Placement
    ) -> float:
        """Return in how many seconds a refused request may come back.

        :param placement: why it has no server.
        """
        if placement.cause == CAUSE_BACKOFF:
            return self._schedule_after_backoffs(request)
        now = self._clock.monotonic()
        full = [
            one
            for one in placement.considered
            if one.name not in placement.rules
        ]
        if not full:
            return placement.wait_s
        soonest = min(full, key=lambda one: one.next_slot_s)
        return self._reserve_return(soonest, soonest.next_slot_s, now)

    def estimate_reachable(self, request: PlacementRequest) -> float:
        """Return when a request that reached no server may come back.

        :return: seconds from now.
        """
        now = self._clock.monotonic()
        servers = self._eligible.find(replace(request, tried=frozenset()))
        health = self._cluster.health
        if all(health.is_ejected(one.entry.name, now) for one in servers):
            return self._eligible.estimate_return(servers, now)
        return _OTHER_SERVER_RETRY_S

    def schedule_resend(
        self, request: PlacementRequest, server: TrackedServer
    ) -> float:
        """Return when a request that a server rejected may come back.

        A server with free slots that rejected one request may accept the
        next, unless it asked this host to back off.

        :return: seconds from now.
        """
        now = self._clock.monotonic()
        if self._state.backoffs.is_backing_off(server.entry, now):
            return self._schedule_after_backoffs(request)
        rejecting = self._placer.estimate_server(server, request, now)
        return self._reserve_return(rejecting, rejecting.wait_s, now)

    def list_passed_over(
        self, request: PlacementRequest
    ) -> tuple[PassedOver, ...]:
        """Return servers with a free slot that were not compared, for the log.

        Only one server of a region is compared: the one that holds the
        request's object. On another one the request would take longer and
        displace an object there.
        """
        now = self._clock.monotonic()
        found: list[PassedOver] = []
        for server in self._eligible.find(request):
            name = server.entry.name
            slots = server.entry.slots
            load = self._state.find_load(name).estimate(now)
            if load + 1 <= slots and self._eligible.is_warm(server, now):
                rule = self._find_rule(name, now)
                found.append(PassedOver(name, load, slots, rule))
        return tuple(found[:_MAX_PASSED_OVER_COUNT])

    def _find_rule(self, server: str, now: float) -> str:
        """Return why a warm server with a free slot was not compared."""
        entry = self._cluster.servers.find(server)
        if entry is not None and self._state.backoffs.is_backing_off(
            entry.entry, now
        ):
            return CAUSE_BACKOFF
        if self._state.limited.may_send(server, now):
            return _RULE_OBJECT_NOT_HELD
        return _RULE_SERVER_LIMIT

    def _schedule_after_backoffs(self, request: PlacementRequest) -> float:
        """Return when a server that does not back off may take a request.

        :return: seconds from now.
        """
        now = self._clock.monotonic()
        untried = replace(request, tried=frozenset())
        servers = self._eligible.find(untried)
        backoffs = self._state.backoffs
        if not servers or backoffs.select(servers, now):
            return _OTHER_SERVER_RETRY_S
        first = backoffs.find_first_end(servers)
        first_s = backoffs.find_end(first.entry) - now
        candidate = self._placer.estimate_server(first, request, now)
        return self._reserve_return(candidate, first_s, now)

    def _reserve_return(
        self, server: Candidate, first_s: float, now: float
    ) -> float:
        hosts = len(self._cluster.fleet.list_live(now)) + 1
        rate = SlotRate(first_s, server.release_interval_s, hosts)
        return self._state.returns.reserve(server.name, rate, now)
