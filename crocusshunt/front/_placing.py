"""Backend servers ranked for one request, and the choice among them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain

from crocusshunt.core import Clock, rank_by_rendezvous
from crocusshunt.front._admission import Admission
from crocusshunt.front._knowledge import Knowledge
from crocusshunt.placement import (
    Candidate,
    Choice,
    ChoiceSettings,
    Locality,
    RecentObjects,
    RequestConstraints,
    ServerLoad,
    ServiceTimes,
    TrackedServer,
    choose_server,
    rank_servers,
)
from crocusshunt.sharing import MinIntervalLimiter, RetryLimit, RetryLimiter

# Two hosts share a cold server's rate, so that one lost host does not leave
# it without work.
_COLD_SENDERS = 2
_RETURN_SPACING_S = 0.5
_LEAST_COLD_RATE = 0.5
# By then its entry tells whether it is cold, and any host may try it.
_BLIND_RETURN_S = 6
# A round trip between distant regions; the choice only orders by it.
_REMOTE_DISTANCE_S = 0.1
# Requests may change region by a bounded share in two seconds; a part of it
# is left for objects that move.
_OVERFLOW_SHARE = 0.06
_OVERFLOW_EXTRA = 0.5
_OVERFLOW_WINDOW_S = 2
_ALL_POOLS = ''
# Entries and health of servers change within about this.
_CLOSED_WAIT_S = 1


@dataclass(frozen=True, slots=True)
class Placing:
    """A request to place.

    :param key: what it is placed by: its object, or itself.
    :param tried: servers that it was sent to already.
    :param final_at: latest moment of its answer, monotonic seconds.
    :param objective_at: moment at which its latency objective is missed.
    """

    admission: Admission
    pool: str
    key: str
    objective_at: float
    final_at: float
    tried: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request goes now.

    :param server: None where no server can take it.
    :param is_preferred: whether it is the first in the request's ranking.
    :param wait_s: without a server, until one may have room.
    :param finish_s: expected time until its answer.
    :param considered: the servers that the decision was among.
    """

    server: TrackedServer | None
    is_preferred: bool = False
    wait_s: float = 0
    cause: str = ''
    finish_s: float = 0
    considered: tuple[Candidate, ...] = ()


def _create_overflow() -> RetryLimiter:
    return RetryLimiter(
        RetryLimit(_OVERFLOW_SHARE, _OVERFLOW_EXTRA, _OVERFLOW_WINDOW_S),
    )


@dataclass(slots=True)
class PlacerState:
    """What placing depends on besides the configuration.

    :param overflow: requests that may leave their preferred server.
    :param full: load of servers that showed no free slot lately.
    """

    loads: dict[str, ServerLoad] = field(default_factory=dict)
    times: ServiceTimes = field(default_factory=ServiceTimes)
    localities: Mapping[str, Locality] = field(default_factory=dict)
    familiar: RecentObjects = field(default_factory=RecentObjects)
    trickle: MinIntervalLimiter = field(default_factory=MinIntervalLimiter)
    overflow: RetryLimiter = field(default_factory=_create_overflow)
    full: dict[str, int] = field(default_factory=dict)

    def forget_full(self) -> None:
        """Begin to note full servers anew."""
        self.full = {}

    def forget(self, server: str) -> None:
        """Drop what is known of a server."""
        self.loads.pop(server, None)
        self.times.forget(server)
        self.familiar.forget(server)
        self.trickle.forget(server)

    def find_load(self, server: str) -> ServerLoad:
        """Return the load of a server."""
        return self.loads.setdefault(server, ServerLoad())


class Placer:
    """Places requests by what the host knows."""

    def __init__(
        self,
        knowledge: Knowledge,
        state: PlacerState,
        settings: ChoiceSettings,
        clock: Clock,
    ) -> None:
        """Use the books of a host."""
        self._knowledge = knowledge
        self._state = state
        self._settings = settings
        self._clock = clock

    def note_request(self, now: float) -> None:
        """Count a request, of which a share may leave its server."""
        self._state.overflow.note_request(_ALL_POOLS, now)

    def place(self, placing: Placing) -> Placement:
        """Choose a server for a request, or say when one may have room."""
        now = self._clock.monotonic()
        open_servers = self._list_open(placing)
        if not open_servers:
            return Placement(None, wait_s=_CLOSED_WAIT_S, cause='no-server')
        locality = self._state.localities.get(placing.pool, Locality())
        fleet = self._knowledge.fleet
        ranked = rank_servers(
            placing.key,
            open_servers,
            fleet.own.region,
            locality,
        )
        preferred = next(ranked)
        if self._may_try_cold(preferred, placing, now):
            return Placement(preferred, is_preferred=True)
        every = chain((preferred,), ranked)
        warm = (one for one in every if self._is_warm(one, now))
        replicas = self._select_replicas(warm)
        if replicas:
            return self._choose(placing, replicas, now)
        return self._find_cold(open_servers, placing, now)

    def _select_replicas(
        self,
        warm: Iterable[TrackedServer],
    ) -> list[TrackedServer]:
        """Return the first server, and the first of other regions."""
        found: dict[str, TrackedServer] = {}
        for server in warm:
            found.setdefault(server.region, server)
            if len(found) >= self._settings.replicas:
                break
        return list(found.values())

    def _list_open(self, placing: Placing) -> list[TrackedServer]:
        homes = placing.admission.homes
        servers = self._knowledge.servers.select(placing.pool)
        return [
            one
            for one in servers
            if one.entry.name not in placing.tried
            and (homes is None or one.region in homes)
        ]

    def _is_warm(self, server: TrackedServer, now: float) -> bool:
        name = server.entry.name
        health = self._knowledge.health
        if server.is_cold(now) or health.is_ejected(name, now):
            return False
        if not health.is_returning(name):
            return True
        return now > health.find(name).ejected_until + _BLIND_RETURN_S

    def _may_try_cold(
        self,
        server: TrackedServer,
        placing: Placing,
        now: float,
    ) -> bool:
        """Tell whether a server is cold and may get this request now."""
        if self._is_warm(server, now):
            return False
        health = self._knowledge.health
        name = server.entry.name
        is_returning = health.is_returning(name)
        is_risky = is_returning and not placing.admission.route.is_idempotent
        if is_risky or health.is_ejected(name, now):
            return False
        return self._may_trickle(server, now)

    def _find_cold(
        self,
        servers: Iterable[TrackedServer],
        placing: Placing,
        now: float,
    ) -> Placement:
        """Return a cold server that may get a request, where none is warm."""
        for server in servers:
            if self._may_try_cold(server, placing, now):
                return Placement(server)
        return Placement(None, wait_s=_CLOSED_WAIT_S, cause='no-warm-server')

    def _may_trickle(self, server: TrackedServer, now: float) -> bool:
        fleet = self._knowledge.fleet
        name = server.entry.name
        senders = rank_by_rendezvous(name, fleet.names)[:_COLD_SENDERS]
        if fleet.own.name not in senders:
            return False
        apart_s = _RETURN_SPACING_S
        index = self._knowledge.index
        if index is not None:
            rate = index.find_pool(server.entry.pool).cold_rate
            apart_s = _COLD_SENDERS / max(_LEAST_COLD_RATE, rate)
        return self._state.trickle.take(name, apart_s, now)

    def _choose(
        self,
        placing: Placing,
        replicas: list[TrackedServer],
        now: float,
    ) -> Placement:
        need = RequestConstraints(
            placing.objective_at - now,
            placing.final_at - now,
            self._is_urgent(placing),
        )
        ranked = [self._describe(one, placing, now) for one in replicas]
        choice = choose_server(need, ranked, self._settings)
        if choice.index and not self._state.overflow.spend(_ALL_POOLS, now):
            choice = choose_server(need, ranked[:1], self._settings)
        return _describe_choice(choice, replicas, tuple(ranked))

    def _is_urgent(self, placing: Placing) -> bool:
        index = self._knowledge.index
        if index is None:
            return True
        own = placing.admission.route.priority
        return own <= index.find_top_priority(placing.pool)

    def _describe(
        self,
        server: TrackedServer,
        placing: Placing,
        now: float,
    ) -> Candidate:
        own_region = self._knowledge.fleet.own.region
        route = placing.admission.route
        times = self._state.times
        name = server.entry.name
        objective_s = route.objective_s
        return Candidate(
            name,
            server.entry.slots,
            self._state.find_load(name).estimate(now),
            times.estimate_service_time(route.name, objective_s, name),
            times.estimate_slot_release(placing.pool, objective_s, name),
            0 if server.region == own_region else _REMOTE_DISTANCE_S,
            self._state.familiar.is_recent(name, placing.key),
        )


def _describe_choice(
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
