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
    LeaseNotice,
    Message,
    PartLeases,
    PartRequest,
    TokenReply,
    TokenRequest,
)
from crocusshunt.front._limits import SharedLimits
from crocusshunt.front._retry_watch import RetryWatch
from crocusshunt.front._tokens import TokenService
from crocusshunt.sharing import RetryLimit, RetryLimiter

_BURST = 4
_RULE = CustomerRule('court', rate=4, burst=_BURST)
_HOSTS = ('h1', 'h2', 'h3')
_SECONDS = 10
_WINDOW_S = 5


@dataclass(slots=True)
class _Network:
    """Hosts of one region; messages to and from some of them are lost.

    :param slow: hosts that handle requests, but whose replies come too late.
    """

    clock: ManualClock
    services: dict[str, TokenService] = field(default_factory=dict)
    lost: set[str] = field(default_factory=set)
    slow: set[str] = field(default_factory=set)
    sequence: int = 0

    def deliver(self, message: Message, host: str) -> None:
        if host in self.lost or message.name in self.lost:
            return
        if isinstance(message, TokenReply) and message.name in self.slow:
            return
        service = self.services[host]
        match message:
            case TokenRequest():
                service.handle_request(message)
            case TokenReply():
                service.handle_reply(message)
            case LeaseNotice():
                service.borrowing.handle_notice(message)
            case PartRequest():
                service.lending.handle_request(message)
            case PartLeases():
                service.borrowing.handle_parts(message)

    def divide(self, heard: Iterable[str] = _HOSTS) -> None:
        """Deliver heartbeats of some hosts and divide the rates again."""
        now = self.clock.monotonic()
        self.sequence += 1
        heartbeats = [self._create_heartbeat(name) for name in heard]
        for service in self.services.values():
            for heartbeat in heartbeats:
                fleet = service.limits.cluster.fleet
                if fleet.handle_message(heartbeat, now) is not None:
                    service.note_heartbeat(heartbeat, is_first=False)
            service.limits.divide(now, is_ready=True)
        for name in heard:
            self.services[name].lending.send_leases()
            self.services[name].borrowing.send_requests()

    @property
    def keeper(self) -> str:
        return self.services['h1'].limits.shares['court'].keeper

    @property
    def others(self) -> list[str]:
        return [name for name in _HOSTS if name != self.keeper]

    def _create_heartbeat(self, name: str) -> Heartbeat:
        service = self.services[name]
        return Heartbeat(
            name,
            1,
            self.sequence,
            is_ready=True,
            stamp=self.clock.boottime(),
            kept=service.limits.held.kept,
        )


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
        retries = RetryWatch(RetryLimiter(RetryLimit(0, 0, 1)), network.clock)
        limits = SharedLimits(cluster, retries, network.clock)
        network.services[name] = TokenService(
            limits,
            network.clock,
            network.deliver,
        )
    # Stamps, then leases, then the keeper's answers to requests.
    while network.sequence < 4:
        network.clock.advance(1)
        network.divide()
    return network


async def _count_granted(
    network: _Network, names: Iterable[str], seconds: int = _SECONDS
) -> int:
    """Request tokens at hosts in turn ten times a second; count grants."""
    granted = 0
    for turn in range(seconds * 10):
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


async def _count_by_second(network: _Network, seconds: int) -> list[int]:
    """Request tokens at all hosts ten times a second, with heartbeats."""
    counts: list[int] = []
    while len(counts) < seconds:
        network.divide()
        counts.append(await _count_granted(network, _HOSTS, seconds=1))
    return counts


def _find_fullest_window(counts: list[int], seconds: int) -> int:
    starts = range(len(counts) - seconds + 1)
    return max(sum(counts[start : start + seconds]) for start in starts)


async def test_slow_keeper_and_other_hosts_hand_out_no_token_twice() -> None:
    """Hosts took tokens of their own while the keeper still had the same."""
    network = _connect()
    network.slow.add(network.keeper)
    counts = await _count_by_second(network, _SECONDS)
    allowed = _RULE.rate * _WINDOW_S + _RULE.burst
    assert _find_fullest_window(counts, _WINDOW_S) <= allowed
    # The keeper has its own part, too, and its callers ask it directly.
    used = sum(counts[-_WINDOW_S:])
    assert used >= 0.5 * _RULE.rate * _WINDOW_S


async def test_two_keepers_slow_in_turn_hand_out_no_token_twice() -> None:
    """Each change of the keeper was a chance to hold the same tokens."""
    network = _connect()
    counts: list[int] = []
    while len(counts) < 6 * _WINDOW_S:
        network.slow = {network.keeper}
        counts.extend(await _count_by_second(network, 2))
        network.lost = {network.keeper}
        network.slow = set()
        counts.extend(await _count_by_second(network, 2))
        network.lost = set()
        counts.extend(await _count_by_second(network, 1))
    allowed = _RULE.rate * _WINDOW_S + _RULE.burst
    assert _find_fullest_window(counts, _WINDOW_S) <= allowed


async def test_rate_is_whole_again_after_the_keeper_was_slow() -> None:
    network = _connect()
    network.slow.add(network.keeper)
    await _count_by_second(network, 5)
    network.slow.clear()
    counts = await _count_by_second(network, 10)
    assert sum(counts[-_WINDOW_S:]) >= 0.9 * _RULE.rate * _WINDOW_S
