"""Rates of customers at hosts that hear each other in part, or not at all."""

import random
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import combinations
from typing import cast

import pytest

from crocusshunt.catalog import Catalog, CatalogIndex, CustomerRule
from crocusshunt.core import ManualClock
from crocusshunt.fleet import DatagramEndpoint
from crocusshunt.front._heartbeats import HeartbeatLoop
from crocusshunt.front._receiver import MessageReceiver
from crocusshunt.front.tests._region import Region

_NAMES = ('a1', 'a2', 'b1', 'b2', 'c1', 'c2')
_DIVIDED = CustomerRule('court', rate=120, burst=12)
_KEPT = CustomerRule('court', rate=24, burst=12)
_WINDOW_S = 5
_STEP_S = 0.02
_CALM_S = 10
_CUT_S = 8
_END_S = 24
_DEMAND_FACTOR = 2.75

Pair = frozenset[str]


@pytest.fixture(autouse=True)
def _expect_no_late_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replies come at once or never."""
    monkeypatch.setattr('crocusshunt.front._tokens._REPLY_TIMEOUT_S', 0.0001)


@dataclass(slots=True)
class _Network:
    """Links between hosts, some of them cut in one direction or both."""

    region: Region
    cut: set[tuple[str, str]] = field(default_factory=set)

    def cut_pairs(self, pairs: Iterable[Pair]) -> None:
        for one, other in map(sorted, pairs):
            self.cut |= {(one, other), (other, one)}


@dataclass(frozen=True, slots=True)
class _Endpoint:
    network: _Network
    sender: str

    def send(self, content: bytes, host: str, _port: int) -> None:
        """Deliver a datagram unless the link is cut."""
        if (self.sender, host) in self.network.cut:
            return
        receiver = self.network.region.hosts.get(host)
        if receiver is not None:
            MessageReceiver(receiver).receive(content)


@dataclass(slots=True)
class _Play:
    """Callers of one customer at all hosts, and the links of these.

    :param weights: part of the demand that reaches each host.
    """

    rule: CustomerRule
    weights: dict[str, float]
    seed: int = 1
    clock: ManualClock = field(default_factory=ManualClock)
    granted: list[float] = field(default_factory=list)
    network: _Network = field(init=False)

    def __post_init__(self) -> None:
        region = Region(_NAMES, self.clock)
        self.network = _Network(region)
        for name in _NAMES:
            host = region.start(name)
            host.cluster.index = CatalogIndex(
                Catalog(1, customers=(self.rule,))
            )
            endpoint = cast(DatagramEndpoint, _Endpoint(self.network, name))
            host.outbox.endpoint = endpoint
        for started in region.hosts.values():
            started.run_once()

    async def run(self, until: float) -> None:
        """Let callers ask for more than the rate until a moment."""
        random_source = random.Random(self.seed)
        offsets = {name: random_source.random() for name in _NAMES}
        beats = {name: self.clock.monotonic() for name in _NAMES}
        due = dict.fromkeys(_NAMES, float())
        while self.clock.monotonic() < until:
            self.clock.advance(_STEP_S)
            now = self.clock.monotonic()
            for name, host in self.network.region.hosts.items():
                if now >= beats[name] + offsets[name]:
                    beats[name] += 1
                    host.run_once()
                due[name] += self._find_demand(name) * _STEP_S
                due[name] -= await self._take(host, int(due[name]))

    def count_fullest(self) -> int:
        """Return the most requests that were granted in a window."""
        times = self.granted
        return max(
            bisect_right(times, at + _WINDOW_S) - number
            for number, at in enumerate(times)
        )

    def count_since(self, moment: float) -> int:
        """Return how many requests were granted since a moment."""
        return sum(at >= moment for at in self.granted)

    @property
    def allowed(self) -> float:
        """Return how many requests may be granted in any window."""
        return self.rule.rate * _WINDOW_S + self.rule.burst

    def _find_demand(self, name: str) -> float:
        total = sum(self.weights.values())
        share = self.weights.get(name, 0) / total
        return _DEMAND_FACTOR * self.rule.rate * share

    async def _take(self, host: HeartbeatLoop, count: int) -> int:
        for _ in range(count):
            grant = await host.tokens.take(self.rule, 0)
            if grant.is_granted:
                self.granted.append(self.clock.monotonic())
        return count


def _pair(*names: str) -> Iterator[Pair]:
    return map(frozenset, combinations(names, 2))


_REGIONS_APART = tuple(
    frozenset((one, other)) for one in ('a1', 'a2') for other in ('b1', 'b2')
)


@pytest.mark.parametrize('rule', [_DIVIDED, _KEPT], ids=['divided', 'kept'])
@pytest.mark.parametrize(
    'cut',
    [tuple(_pair('a1', 'a2')), _REGIONS_APART, tuple(_pair(*_NAMES))],
    ids=['two hosts', 'two regions', 'all'],
)
async def test_hosts_that_do_not_hear_each_other_share_a_rate(
    rule: CustomerRule, cut: tuple[Pair, ...]
) -> None:
    """Two hosts, both heard by a third one, took what the others left."""
    play = _Play(rule, dict.fromkeys(('a1', 'a2', 'b1'), 1))
    await play.run(_CALM_S)
    play.network.cut_pairs(cut)
    await play.run(_CALM_S + _CUT_S)
    play.network.cut.clear()
    await play.run(_END_S)
    assert play.count_fullest() <= play.allowed


@pytest.mark.parametrize('rule', [_DIVIDED, _KEPT], ids=['divided', 'kept'])
@pytest.mark.parametrize('seed', range(6))
async def test_links_that_fail_at_random_give_no_more_than_the_rate(
    rule: CustomerRule, seed: int
) -> None:
    """Each link fails in each direction, and demand moves among the hosts."""
    random_source = random.Random(seed)
    play = _Play(rule, {'a1': 1}, seed)
    links = [(one, two) for one in _NAMES for two in _NAMES if one != two]
    for moment in range(4, _END_S, 2):
        await play.run(moment)
        play.network.cut = set(random_source.sample(links, len(links) // 2))
        play.weights = {
            name: random_source.choice((0, 0, 1, 3)) for name in _NAMES
        }
        play.weights['a1'] += 1
    assert play.count_fullest() <= play.allowed


@pytest.mark.parametrize('rule', [_DIVIDED, _KEPT], ids=['divided', 'kept'])
@pytest.mark.parametrize('hosts', [('a1',), ('a1', 'a2'), ('a1', 'b1'), _NAMES])
async def test_demand_at_few_hosts_gets_the_rate(
    rule: CustomerRule, hosts: tuple[str, ...]
) -> None:
    """What hosts without demand own is lent to those that have it."""
    play = _Play(rule, dict.fromkeys(hosts, 1))
    await play.run(_END_S)
    got = play.count_since(_CALM_S) / (_END_S - _CALM_S)
    assert got >= 0.9 * rule.rate
    assert play.count_fullest() <= play.allowed
