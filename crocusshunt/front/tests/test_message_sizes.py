"""Sizes of the messages between hosts on a day of many changes."""

from dataclasses import dataclass, field
from typing import cast

import pytest

from crocusshunt.fleet import (
    DatagramEndpoint,
    Heartbeat,
    RegionSummary,
    decode_message,
)
from crocusshunt.front.tests._region import Region
from crocusshunt.placement import ServerEntry

# What one Ethernet frame carries besides the headers of IPv4 and UDP.
_FRAME_BYTES = 1_472
_CHANGE_S = 0.25
_HEARTBEAT_S = 1
_CHANGES_A_ROUND = round(_HEARTBEAT_S / _CHANGE_S)


@dataclass(slots=True)
class _Network:
    """Records what each host sends, and drops what a frame does not carry."""

    region: Region
    sizes: list[int] = field(default_factory=list)
    summaries: int = 0

    def connect(self) -> None:
        for loop in self.region.hosts.values():
            outbox = loop.outbox
            frames = _Frames(self, outbox.endpoint)
            outbox.endpoint = cast(DatagramEndpoint, frames)


@dataclass(slots=True)
class _Frames:
    network: _Network
    endpoint: DatagramEndpoint | None

    def send(self, content: bytes, host: str, port: int) -> None:
        self.network.sizes.append(len(content))
        message = decode_message(content)
        assert message is not None
        self.network.summaries += isinstance(message, RegionSummary)
        if self.endpoint is not None and len(content) <= _FRAME_BYTES:
            self.endpoint.send(content, host, port)


def _replace_servers(region: Region, first: int, count: int) -> None:
    """Let servers drain and leave, and others come, as the tables tell."""
    now = region.clock.monotonic()
    for number in range(first, first + count):
        for loop in region.hosts.values():
            servers = loop.cluster.servers
            name = f'i-{number:010x}'
            address = f'10.0.0.1:{number}'
            entry = ServerEntry(
                name, 'p', address, 'a1', 4, started_ms=1_700_000_000_000
            )
            servers.put(entry, now)
            leaving = ServerEntry(
                name,
                'p',
                address,
                'a1',
                4,
                is_draining=True,
                started_ms=1_700_000_000_000,
            )
            servers.put(leaving, now)
            if number > 8:
                servers.remove(f'i-{number - 8:010x}')


def _play(changes: int) -> _Network:
    region = Region(names=('a1', 'a2', 'a3', 'b1'))
    for name in region.names:
        region.start(name)
    network = _Network(region)
    network.connect()
    for first in range(0, max(changes, _CHANGES_A_ROUND), _CHANGES_A_ROUND):
        _replace_servers(region, first, min(changes, _CHANGES_A_ROUND))
        region.clock.advance(_HEARTBEAT_S)  # type: ignore[attr-defined]
        for loop in region.hosts.values():
            loop.run_once()
    return network


@pytest.mark.parametrize('changes', [100, 1_000])
def test_messages_do_not_grow_with_servers_that_left(changes: int) -> None:
    """Heartbeats were over a frame after 22 s, and hosts counted as silent."""
    network = _play(changes)
    assert network.summaries
    assert max(network.sizes) <= _FRAME_BYTES
    for loop in network.region.hosts.values():
        near = [
            one
            for one in network.region.hosts
            if one[0] == loop.cluster.fleet.own.region
        ]
        live = loop.cluster.fleet.list_live(network.region.clock.monotonic())
        assert len(live) == len(near) - 1


def test_heartbeat_is_as_small_after_many_changes_as_after_few() -> None:
    few, many = (max(_play(changes).sizes) for changes in (40, 1_000))
    assert many <= 1.1 * few


def test_server_that_its_entry_brings_back_is_told_on() -> None:
    """An older copy of the store says that it takes requests again."""
    region = Region(names=('a1', 'a2'))
    loop = region.start('a1')
    region.start('a2')
    entry = ServerEntry('s9', 'p', 'x:9', 'a1', 4, started_ms=7)
    loop.cluster.servers.put(entry, 0)
    loop.cluster.servers.mark_draining('s9', 7, region.clock.monotonic())
    region.clock.advance(30)  # type: ignore[attr-defined]
    loop.run_once()
    other = region.hosts['a2'].cluster.servers
    other.put(entry, 0)
    returned = other.find('s9')
    assert returned is not None
    assert not other.is_open(returned)


def test_heartbeat_has_the_start_of_its_host() -> None:
    """Parts of a heartbeat are told from those of a former start by it."""
    network = _play(4)
    own = network.region.hosts['a1']
    heard = network.region.hosts['a2'].cluster.fleet.peers['a1'].heartbeat
    assert isinstance(heard, Heartbeat)
    assert heard.started_at == own.started_at
