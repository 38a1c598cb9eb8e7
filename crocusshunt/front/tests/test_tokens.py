"""Tokens of customers whose bucket one host keeps for its region."""

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
from crocusshunt.front._tokens import TokenService
from crocusshunt.sharing import RetryLimit, RetryLimiter

_BURST = 4
_RULE = CustomerRule('court', rate=4, burst=_BURST)
_HOSTS = ('h1', 'h2', 'h3')
_SECONDS = 10


@dataclass(slots=True)
class _Network:
    """Hosts of one region; messages to some of them are lost."""

    clock: ManualClock
    services: dict[str, TokenService] = field(default_factory=dict)
    lost: set[str] = field(default_factory=set)

    def deliver(self, message: Message, host: str) -> None:
        if host in self.lost or message.name in self.lost:
            return
        service = self.services[host]
        if isinstance(message, TokenRequest):
            service.handle_request(message)
        elif isinstance(message, TokenReply):
            service.handle_reply(message)

    def divide(self, heard: Iterable[str] = _HOSTS) -> None:
        """Deliver heartbeats of some hosts and divide the rates again."""
        now = self.clock.monotonic()
        for service in self.services.values():
            for name in heard:
                heartbeat = Heartbeat(name, round(now), 1, is_ready=True)
                service.limits.cluster.fleet.handle_message(heartbeat, now)
            service.limits.divide(now, is_ready=True)

    @property
    def keeper(self) -> str:
        return self.services['h1'].limits.shares['court'].keeper

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
        cluster = Mock(fleet=fleet, index=index)
        retries = RetryLimiter(RetryLimit(0, 0, 1))
        limits = SharedLimits(cluster, retries)
        network.services[name] = TokenService(
            limits,
            network.clock,
            network.deliver,
        )
    network.divide()
    return network


async def _count_granted(network: _Network, names: Iterable[str]) -> int:
    """Request tokens at hosts in turn ten times a second; count grants."""
    granted = 0
    for turn in range(_SECONDS * 10):
        network.clock.advance(0.1)
        for name in names:
            grant = await network.services[name].take(_RULE, 0)
            granted += grant.is_granted
    return granted


async def test_hosts_share_one_bucket_of_their_region() -> None:
    network = _connect()
    network.clock.advance(1)
    requester = network.services[network.others[0]]
    grants = [await requester.take(_RULE, 0) for _turn in range(_BURST)]
    assert all(grant.is_granted for grant in grants)
    refused = await network.services[network.others[1]].take(_RULE, 0)
    assert not refused.is_granted
    assert 0 < refused.wait_s <= 1 / _RULE.rate


async def test_hosts_together_stay_within_the_rate() -> None:
    network = _connect()
    granted = await _count_granted(network, _HOSTS)
    assert granted <= _RULE.rate * _SECONDS + _RULE.burst


async def test_host_uses_its_equal_share_while_the_keeper_is_silent() -> None:
    network = _connect()
    network.lost.add(network.keeper)
    granted = await _count_granted(network, network.others)
    share = _RULE.rate * len(network.others) / len(_HOSTS)
    assert 0 < granted <= share * _SECONDS + len(network.others)


async def test_keeper_is_replaced_once_its_heartbeats_stop() -> None:
    network = _connect()
    lost_keeper = network.keeper
    network.lost.add(lost_keeper)
    network.clock.advance(5)
    network.divide(network.others)
    new_keeper = (
        network.services[network.others[0]].limits.shares['court'].keeper
    )
    assert new_keeper
    assert new_keeper != lost_keeper


async def test_host_that_is_not_the_keeper_names_the_keeper() -> None:
    network = _connect()
    network.clock.advance(1)
    requester, other = network.others
    share = network.services[requester].limits.shares['court']
    stale = type(share)(other, share.rate, share.burst)
    network.services[requester].limits.shares['court'] = stale
    assert (await network.services[requester].take(_RULE, 0)).is_granted


async def test_demand_is_counted_only_at_the_keeper() -> None:
    network = _connect()
    await _count_granted(network, network.others)
    now = network.clock.monotonic()
    rates = {
        name: service.limits.demand.rate('court', now)
        for name, service in network.services.items()
    }
    assert rates.pop(network.keeper) > 10
    assert set(rates.values()) == {0}


async def test_late_reply_is_ignored() -> None:
    network = _connect()
    service = network.services[network.others[0]]
    service.handle_reply(TokenReply(network.keeper, 99, network.keeper))
    network.clock.advance(1)
    async with asyncio.timeout(1):
        assert (await service.take(_RULE, 0)).is_granted


async def test_new_limit_applies_from_the_first_request() -> None:
    network = _connect()
    service = network.services['h1']
    service.limits.shares.clear()
    service.limits.customers.release('court')
    grants = [await service.take(_RULE, 0) for _turn in range(10)]
    assert not any(grant.is_granted for grant in grants)
