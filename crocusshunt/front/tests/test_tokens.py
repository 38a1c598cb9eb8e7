"""Tokens of customers that one host keeps for its region."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from unittest.mock import Mock

from crocusshunt.catalog import Catalog, CatalogIndex, CustomerRule
from crocusshunt.core import ManualClock
from crocusshunt.fleet import (
    FleetSettings,
    FleetView,
    Heartbeat,
    HostRecord,
    Message,
    TokenReply,
    TokenRequest,
)
from crocusshunt.front._limits import SharedLimits
from crocusshunt.front._tokens import TokenDesk
from crocusshunt.sharing import RetryLimit, RetryLimiter

_BURST = 4
_RULE = CustomerRule('court', rate=4, burst=_BURST)
_HOSTS = ('h1', 'h2', 'h3')
_SECONDS = 10


@dataclass(slots=True)
class _Network:
    """Hosts of one region; messages to some of them are lost."""

    clock: ManualClock
    desks: dict[str, TokenDesk] = field(default_factory=dict)
    lost: set[str] = field(default_factory=set)

    def deliver(self, message: Message, host: str) -> None:
        if host in self.lost or message.name in self.lost:
            return
        desk = self.desks[host]
        if isinstance(message, TokenRequest):
            desk.answer(message)
        elif isinstance(message, TokenReply):
            desk.receive(message)

    def divide(self, heard: Iterable[str] = _HOSTS) -> None:
        """Let every host hear some hosts and divide the rates anew."""
        now = self.clock.monotonic()
        for desk in self.desks.values():
            for name in heard:
                beat = Heartbeat(name, round(now), 1, is_ready=True)
                desk.limits.knowledge.fleet.handle_message(beat, now)
            desk.limits.divide(now, is_ready=True)

    @property
    def keeper(self) -> str:
        return self.desks['h1'].limits.parts['court'].keeper

    @property
    def others(self) -> list[str]:
        return [name for name in _HOSTS if name != self.keeper]


def _record(name: str) -> HostRecord:
    return HostRecord(name, '10.0.0.1', 7600, f'{name}:80', 'a1', 'a')


def _connect() -> _Network:
    network = _Network(ManualClock())
    for name in _HOSTS:
        fleet = FleetView(_record(name), FleetSettings())
        for peer in _HOSTS:
            fleet.put(_record(peer))
        index = CatalogIndex(Catalog(1, customers=(_RULE,)))
        knowledge = Mock(fleet=fleet, index=index)
        retries = RetryLimiter(RetryLimit(0, 0, 1))
        limits = SharedLimits(knowledge, retries)
        network.desks[name] = TokenDesk(
            limits,
            network.clock,
            network.deliver,
        )
    network.divide()
    return network


async def _count_granted(network: _Network, names: Iterable[str]) -> int:
    """Ask at hosts by turns ten times a second; return the grants."""
    granted = 0
    for turn in range(_SECONDS * 10):
        network.clock.advance(0.1)
        for name in names:
            grant = await network.desks[name].take(_RULE, 0)
            granted += grant.is_granted
    return granted


async def test_hosts_share_one_bucket_of_their_region() -> None:
    network = _connect()
    network.clock.advance(1)
    asker = network.desks[network.others[0]]
    grants = [await asker.take(_RULE, 0) for _turn in range(_BURST)]
    assert all(grant.is_granted for grant in grants)
    refused = await network.desks[network.others[1]].take(_RULE, 0)
    assert not refused.is_granted
    assert 0 < refused.wait_s <= 1 / _RULE.rate


async def test_hosts_together_keep_the_rate() -> None:
    network = _connect()
    granted = await _count_granted(network, _HOSTS)
    assert granted <= _RULE.rate * _SECONDS + _RULE.burst


async def test_host_lives_on_its_own_part_without_the_keeper() -> None:
    network = _connect()
    network.lost.add(network.keeper)
    granted = await _count_granted(network, network.others)
    part = _RULE.rate * len(network.others) / len(_HOSTS)
    assert 0 < granted <= part * _SECONDS + len(network.others)


async def test_silent_keeper_is_replaced_once_it_is_not_heard() -> None:
    network = _connect()
    gone = network.keeper
    network.lost.add(gone)
    network.clock.advance(5)
    network.divide(network.others)
    left = network.desks[network.others[0]].limits.parts['court'].keeper
    assert left
    assert left != gone


async def test_asked_host_that_keeps_nothing_names_the_keeper() -> None:
    network = _connect()
    network.clock.advance(1)
    asker, other = network.others
    part = network.desks[asker].limits.parts['court']
    stale = type(part)(other, part.rate, part.burst)
    network.desks[asker].limits.parts['court'] = stale
    assert (await network.desks[asker].take(_RULE, 0)).is_granted


async def test_demand_is_told_by_the_keeper_alone() -> None:
    network = _connect()
    await _count_granted(network, network.others)
    now = network.clock.monotonic()
    rates = {
        name: desk.limits.demand.rate('court', now)
        for name, desk in network.desks.items()
    }
    assert rates.pop(network.keeper) > 10
    assert set(rates.values()) == {0}


async def test_late_answer_changes_nothing() -> None:
    network = _connect()
    desk = network.desks[network.others[0]]
    desk.receive(TokenReply(network.keeper, 99, network.keeper))
    network.clock.advance(1)
    async with asyncio.timeout(1):
        assert (await desk.take(_RULE, 0)).is_granted


async def test_limit_counts_from_the_first_request_after_it_came() -> None:
    network = _connect()
    desk = network.desks['h1']
    desk.limits.parts.clear()
    desk.limits.customers.release('court')
    grants = [await desk.take(_RULE, 0) for _turn in range(10)]
    assert not any(grant.is_granted for grant in grants)
