"""Choice of a backend server for a request."""

from collections.abc import Iterable
from dataclasses import replace
from itertools import chain

from result import Result

from crocusshunt.core import Clock
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._cold_servers import ColdServers
from crocusshunt.front._eligible_servers import EligibleServers
from crocusshunt.front._outcomes import Refusal
from crocusshunt.front._placements import (
    CAUSE_BACKOFF,
    CAUSE_ISOLATED,
    Placement,
    PlacementRequest,
)
from crocusshunt.front._placer_state import PlacerState
from crocusshunt.front._renewal import renew_request
from crocusshunt.placement import (
    Candidate,
    Choice,
    ChoiceSettings,
    Locality,
    RequestConstraints,
    TrackedServer,
    choose_server,
    rank_servers,
)

# Causes that mean something else for a request that may go to few servers.
_NO_SERVER_CAUSES = frozenset(('no-server', 'no-warm-server'))
# A rule by which a free slot is not taken.
_RULE_REGION_CHANGES = 'region-change-bound'
# Entries and health of servers change within about this time.
_NO_SERVER_RETRY_S = 1


class Placer:
    """Chooses servers by rendezvous ranking, load, health and locality.

    A request goes to the first ranked server that is warm, or to the first one
    of another region where it would finish clearly sooner. A cold server gets
    a limited rate of the requests that prefer it, and so does a server that
    names a limit.
    """

    def __init__(
        self,
        cluster: ClusterState,
        state: PlacerState,
        eligible: EligibleServers,
        settings: ChoiceSettings,
        clock: Clock,
    ) -> None:
        """Use the components of a host."""
        self._eligible = eligible
        self._cold = ColdServers(eligible)
        self._cluster = cluster
        self._state = state
        self._settings = settings
        self._clock = clock

    def note_request(self, request: PlacementRequest) -> None:
        """Count an arriving request in the offered load.

        It also counts towards the number that may overflow.
        """
        now = self._clock.monotonic()
        state = self._state
        state.overflow.note_request(now)
        route = request.admission.route
        service_s = state.times.estimate_route(route.name, route.objective_s)
        state.offered.note(
            request.pool, service_s, now, request.admission.allowed_regions
        )

    def renew(
        self, request: PlacementRequest
    ) -> Result[PlacementRequest, Refusal]:
        """Return a request by what the newest configuration allows, too."""
        return renew_request(request, self._cluster.index)

    def place(self, request: PlacementRequest) -> Placement:
        """Choose a server for a request, or tell when one may have room."""
        placement = self._place(request, self._clock.monotonic())
        if request.is_isolated and placement.cause in _NO_SERVER_CAUSES:
            return replace(placement, cause=CAUSE_ISOLATED)
        return placement

    def estimate_server(
        self,
        server: TrackedServer,
        request: PlacementRequest,
        now: float,
    ) -> Candidate:
        """Return the expected times of a request at a server."""
        route = request.admission.route
        times = self._state.times
        name = server.entry.name
        objective_s = route.objective_s
        return Candidate(
            name,
            server.entry.slots,
            self._estimate_load(server, now),
            times.estimate_service_time(route.name, objective_s, name),
            times.estimate_slot_release(request.pool, objective_s, name),
            self._state.round_trips.estimate(server.region),
            self._state.recent_objects.is_recent(name, request.key),
        )

    def _estimate_load(self, server: TrackedServer, now: float) -> float:
        """Return the estimated number of requests at a server.

        Load pattern: callers of all hosts come at once. Until servers tell
        their load, the other hosts of this region are taken to have sent as
        many requests as this one, spread over the region's servers; otherwise
        each host would fill every server alone.
        """
        pool = server.entry.pool
        load = self._state.find_load(server.entry.name)
        estimate = load.estimate(now)
        unheard = self._state.unheard_hosts.get(pool, 0)
        if load.is_reported or not unheard:
            return estimate
        sent = [
            self._state.find_load(one.entry.name).in_flight
            for one in self._cluster.servers.select(pool)
            if one.region == server.region
        ]
        return estimate + unheard * sum(sent) / max(1, len(sent))

    def _place(self, request: PlacementRequest, now: float) -> Placement:
        eligible = self._eligible.find(request)
        if not eligible:
            return Placement(None, wait_s=_NO_SERVER_RETRY_S, cause='no-server')
        willing = self._state.backoffs.select(eligible, now)
        if not willing:
            return self._wait_for_backoffs(eligible, now)
        limited = self._state.limited
        within_limits = limited.select(willing, now)
        if not within_limits:
            names = [one.entry.name for one in willing]
            wait_s = limited.estimate_wait(names)
            return Placement(None, wait_s=wait_s, cause='server-limit')
        placement = self._place_among(within_limits, request, now)
        if placement.server is not None:
            limited.take(placement.server.entry.name, now)
        return placement

    def _wait_for_backoffs(
        self, servers: list[TrackedServer], now: float
    ) -> Placement:
        """Tell when the first of some servers takes requests again."""
        backoffs = self._state.backoffs
        first = backoffs.find_first_end(servers)
        wait_s = backoffs.find_end(first.entry) - now
        return Placement(None, wait_s=wait_s, cause=CAUSE_BACKOFF)

    def _place_among(
        self,
        eligible: list[TrackedServer],
        request: PlacementRequest,
        now: float,
    ) -> Placement:
        """Choose one of at least one server."""
        locality = self._state.localities.get(request.pool, Locality())
        fleet = self._cluster.fleet
        ranked = rank_servers(
            request.key,
            eligible,
            fleet.own.region,
            locality,
        )
        preferred = next(ranked)
        if self._cold.may_try(preferred, request, now):
            return Placement(preferred, is_preferred=True)
        all_servers = chain((preferred,), ranked)
        warm = (one for one in all_servers if self._eligible.is_warm(one, now))
        replicas = self._select_replicas(warm)
        if replicas:
            return self._choose(request, replicas, now)
        return self._choose_cold(eligible, request, now)

    def _select_replicas(
        self,
        warm: Iterable[TrackedServer],
    ) -> list[TrackedServer]:
        """Return the first server of each region, up to the limit."""
        found: dict[str, TrackedServer] = {}
        for server in warm:
            found.setdefault(server.region, server)
            if len(found) >= self._settings.replicas:
                break
        return list(found.values())

    def _choose_cold(
        self,
        servers: Iterable[TrackedServer],
        request: PlacementRequest,
        now: float,
    ) -> Placement:
        """Return a cold server for a request, where no server is warm."""
        for server in servers:
            if self._cold.may_try(server, request, now):
                return Placement(server)
        wait_s = self._eligible.estimate_return(servers, now)
        return Placement(None, wait_s=wait_s, cause='no-warm-server')

    def _choose(
        self,
        request: PlacementRequest,
        replicas: list[TrackedServer],
        now: float,
    ) -> Placement:
        need = RequestConstraints(
            request.objective_at - now,
            request.final_at - now,
            self._is_urgent(request),
        )
        ranked = [self.estimate_server(one, request, now) for one in replicas]
        choice = choose_server(need, ranked, self._settings)
        rules: dict[str, str] = {}
        if choice.index and not self._state.overflow.spend(now):
            choice = choose_server(need, ranked[:1], self._settings)
            others = [one for one in ranked[1:] if one.has_free_slot]
            rules = {one.name: _RULE_REGION_CHANGES for one in others}
        placement = _create_placement(choice, replicas, tuple(ranked))
        return replace(placement, rules=rules)

    def _is_urgent(self, request: PlacementRequest) -> bool:
        index = self._cluster.index
        if index is None:
            return True
        priority = request.admission.route.priority
        return priority <= index.find_top_priority(request.pool)


def _create_placement(
    choice: Choice,
    replicas: list[TrackedServer],
    considered: tuple[Candidate, ...],
) -> Placement:
    if choice.index is None:
        return Placement(
            None,
            wait_s=choice.next_slot_s,
            cause='no-room',
            finish_s=choice.finish_s,
            considered=considered,
        )
    return Placement(
        replicas[choice.index],
        is_preferred=choice.index == 0,
        finish_s=choice.finish_s,
    )
