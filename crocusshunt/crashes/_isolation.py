"""Isolation of callers whose different requests crash server after server."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from crocusshunt.core import rank_by_rendezvous
from crocusshunt.crashes._culprits import START_SEPARATOR, Crashes

# One of so many servers of a pool is for isolated requests, at least one.
_SERVERS_PER_CANARY_COUNT = 6


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """Where a request comes from and goes to, as far as isolation knows it.

    :param customer: name of the customer, empty on a public route.
    """

    pool: str
    route: str
    customer: str


@dataclass(frozen=True, slots=True)
class IsolationSettings:
    """When the requests of an origin are isolated.

    :param moments: so many times at which servers crashed under its requests.
    :param server_share: share of the pool's servers that crashed.
    :param window_s: in which crashes count, in seconds.
    :param hold_s: how long after the last crash isolation ends, in seconds.
    :param same_moment_s: crashes that are no further apart may have a common
        cause and count as one moment, in seconds.
    """

    moments: int = 3
    server_share: float = 1 / 3
    window_s: float = 20
    hold_s: float = 10
    same_moment_s: float = 0.1


@dataclass(slots=True)
class OriginIsolation:
    """Origins whose requests are handled with care, and for how long.

    Under the requests of a strained origin, many servers of a pool crashed; no
    such request is sent to a second server after the first one crashed. If
    they crashed at several moments, the origin is isolated: its requests go to
    few servers only, which get no others.

    >>> isolation = OriginIsolation(IsolationSettings(moments=2))
    >>> bad = Origin('pool', 'read', 'court')
    >>> isolation.update({bad: {'s1': 1.0, 's2': 2.0}}, {'pool': 6}, now=2)
    >>> isolation.is_isolated(bad, 11), isolation.is_isolated(bad, 13)
    (True, False)
    """

    settings: IsolationSettings = field(default_factory=IsolationSettings)
    _isolated: dict[Origin, float] = field(default_factory=dict)
    _strained: dict[Origin, float] = field(default_factory=dict)

    def update(
        self,
        crashes: Mapping[Origin, Crashes],
        pool_sizes: Mapping[str, int],
        now: float,
    ) -> None:
        """Find the strained and the isolated origins anew.

        :param crashes: times of the crashes by server, of each origin.
        :param pool_sizes: number of servers of each pool.
        :param now: monotonic seconds.
        """
        settings = self.settings
        recent = {
            origin: _select_recent(times, now - settings.window_s)
            for origin, times in crashes.items()
        }
        strained = find_strained(recent, pool_sizes, settings)
        isolated = find_isolated(
            {origin: recent[origin] for origin in strained}, settings
        )
        self._strained = self._hold(self._strained, strained, recent, now)
        self._isolated = self._hold(self._isolated, isolated, recent, now)

    def is_isolated(self, origin: Origin, now: float) -> bool:
        """Tell whether unknown requests of an origin go to few servers only."""
        return now < self._isolated.get(origin, 0)

    def is_strained(self, origin: Origin, now: float) -> bool:
        """Tell whether many servers crashed under requests of an origin."""
        return now < self._strained.get(origin, 0)

    def list_isolated(self, now: float) -> frozenset[Origin]:
        """Return the isolated origins."""
        return frozenset(
            origin for origin, end in self._isolated.items() if now < end
        )

    def select(
        self,
        servers: Sequence[str],
        origin: Origin,
        now: float,
        *,
        is_isolated: bool,
    ) -> Collection[str]:
        """Return the servers that a request may be sent to.

        :param servers: names of all servers of its pool.
        :param is_isolated: whether it is one of the isolated requests.
        """
        if not self._isolated:
            return servers
        if is_isolated:
            return choose_canaries(origin, servers)
        reserved = {
            name
            for isolated in self.list_isolated(now)
            if isolated.pool == origin.pool
            for name in choose_canaries(isolated, servers)
        }
        return [one for one in servers if one not in reserved] or servers

    def _hold(
        self,
        ends: Mapping[Origin, float],
        found: Collection[Origin],
        recent: Mapping[Origin, Crashes],
        now: float,
    ) -> dict[Origin, float]:
        """Return when origins stop to be strained or isolated.

        :param ends: the same before.
        """
        held = {origin for origin, end in ends.items() if now < end}
        updated = {}
        for origin in held.union(found):
            newest = max(recent.get(origin, {}).values(), default=0)
            end = newest + self.settings.hold_s
            updated[origin] = max(ends.get(origin, 0), end)
        return updated


def choose_canaries(origin: Origin, servers: Collection[str]) -> Sequence[str]:
    """Return the servers that an origin's isolated requests go to.

    All hosts choose the same ones.

    >>> len(choose_canaries(Origin('p', 'r', 'c'), ['s1', 's2', 's3']))
    1
    """
    count = max(1, len(servers) // _SERVERS_PER_CANARY_COUNT)
    key = f'{origin.pool} {origin.route} {origin.customer}'
    return rank_by_rendezvous(key, servers)[:count]


def find_strained(
    crashes: Mapping[Origin, Crashes],
    pool_sizes: Mapping[str, int],
    settings: IsolationSettings,
) -> frozenset[Origin]:
    """Return the origins under whose requests many servers crashed."""
    return frozenset(
        origin
        for origin, times in crashes.items()
        if _count_servers(times)
        >= max(2, settings.server_share * pool_sizes.get(origin.pool, 0))
    )


def find_isolated(
    crashes: Mapping[Origin, Crashes], settings: IsolationSettings
) -> frozenset[Origin]:
    """Return the origins under whose requests servers crash again and again.

    A server that crashes takes requests of many origins along. The origin with
    the most crashes is taken for the cause of all of its crashes, which then
    don't count against the others.

    :param crashes: of the strained origins.
    """
    isolated: set[Origin] = set()
    explained: set[str] = set()
    ranked = sorted(
        crashes, key=lambda one: (-len(crashes[one]), one.route, one.customer)
    )
    for origin in ranked:
        times = [
            at
            for server, at in crashes[origin].items()
            if server not in explained
        ]
        if _count_moments(times, settings.same_moment_s) >= settings.moments:
            isolated.add(origin)
            explained.update(crashes[origin])
    return frozenset(isolated)


def _count_servers(crashes: Crashes) -> int:
    return len({server.split(START_SEPARATOR)[0] for server in crashes})


def _select_recent(crashes: Crashes, oldest: float) -> Crashes:
    return {server: at for server, at in crashes.items() if at > oldest}


def _count_moments(times: Iterable[float], same_moment_s: float) -> int:
    count = 0
    begun_at = float('-inf')
    for at in sorted(times):
        if at > begun_at + same_moment_s:
            begun_at = at
            count += 1
    return count
