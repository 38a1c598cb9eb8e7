"""A host among others, of which only what they send is played."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from statistics import median
from time import process_time
from typing import cast

from msgspec.structs import replace

from crocusshunt.catalog import Catalog, CatalogIndex, CustomerRule
from crocusshunt.core import ManualClock
from crocusshunt.fleet import (
    DatagramEndpoint,
    Message,
    RegionSummary,
    StatusMessage,
    StatusPart,
    decode_message,
    encode,
)
from crocusshunt.front._heartbeats import HeartbeatLoop
from crocusshunt.front._receiver import MessageReceiver
from crocusshunt.front.tests._region import Region
from crocusshunt.placement import ServerEntry

_REGIONS = ('a', 'b', 'c')
_FIRST = 'a0001'
_MEASURED = 'a0002'
_OTHER_REGION = 'b0001'
_REAL = (_FIRST, _MEASURED, _OTHER_REGION)
_CUSTOMER_COUNT = 83
_RATE = 100
_HEARTBEAT_S = 1
_CHANGE_COUNT = 4
# Until the measured demand is steady.
_WARM_ROUND_COUNT = 10
_MEASURED_ROUND_COUNT = 10
_STARTED_MS = 1_700_000_000_000
# Servers that left stay in the table for so many changes.
_LEAVING_COUNT = 8


@dataclass(slots=True)
class HostCosts:
    """What a host spends on heartbeats and summaries in a middling second.

    :param sent_bytes: of its own messages, to all that get them.
    :param received_bytes: of those of others.
    :param cpu_s: processor time to send and to receive.
    :param summary_bytes: what the host that speaks for its region sends more.
    :param largest: the largest message of any host.
    """

    sent_bytes: float = 0
    received_bytes: float = 0
    cpu_s: float = 0
    summary_bytes: float = 0
    largest: int = 0


@dataclass(slots=True)
class _Endpoint:
    """Keeps what a host sends to one other, and counts the rest."""

    receiver: str
    contents: list[bytes] = field(default_factory=list)
    sent_bytes: int = 0
    largest: int = 0

    def send(self, content: bytes, host: str, _port: int) -> None:
        """Count a message, and keep it if it is for that host."""
        self.sent_bytes += len(content)
        self.largest = max(self.largest, len(content))
        if host == self.receiver:
            self.contents.append(content)

    def take(self) -> tuple[int, list[bytes]]:
        """Return what was sent since the last time: bytes, and contents."""
        taken = self.sent_bytes, self.contents
        self.sent_bytes = 0
        self.contents = []
        return taken


@dataclass(slots=True)
class HostMessages:
    """Three hosts that run, and messages of others that are like theirs.

    :param hosts: number of all hosts, in three regions.
    """

    hosts: int
    clock: ManualClock = field(default_factory=ManualClock)
    region: Region = field(init=False)
    _endpoints: dict[str, _Endpoint] = field(default_factory=dict)
    _changes: int = 0

    def __post_init__(self) -> None:
        """Start the hosts."""
        names = tuple(
            f'{_REGIONS[number % 3]}{number // 3 + 1:04}'
            for number in range(self.hosts)
        )
        self.region = Region(names, self.clock)
        rules = tuple(
            CustomerRule(f'cust{number:04}', rate=_RATE, burst=_RATE)
            for number in range(_CUSTOMER_COUNT)
        )
        for name in _REAL:
            loop = self.region.start(name)
            loop.cluster.index = CatalogIndex(Catalog(1, customers=rules))
            endpoint = _Endpoint(_FIRST if name == _MEASURED else _MEASURED)
            self._endpoints[name] = endpoint
            loop.outbox.endpoint = cast(DatagramEndpoint, endpoint)

    def measure(self, changes: int) -> HostCosts:
        """Play changes, a server that drains and leaves each, then measure."""
        rounds = changes // _CHANGE_COUNT
        for _ in range(rounds - _WARM_ROUND_COUNT - _MEASURED_ROUND_COUNT):
            self._replace_servers(changes)
            for host in _REAL:
                self._send(host)
        for _ in range(_WARM_ROUND_COUNT):
            self._play_round(changes)
        found = [
            self._play_round(changes) for _ in range(_MEASURED_ROUND_COUNT)
        ]
        return HostCosts(
            median(one.sent_bytes for one in found),
            median(one.received_bytes for one in found),
            median(one.cpu_s for one in found),
            median(one.summary_bytes for one in found),
            max(one.largest for one in self._endpoints.values()),
        )

    def _play_round(self, changes: int) -> HostCosts:
        self._replace_servers(changes)
        for loop in self.region.hosts.values():
            _count_demand(loop)
            loop.run_once()
        return self._measure_round()

    def _measure_round(self) -> HostCosts:
        """Send and receive the heartbeats of one second."""
        sent = {name: self._send(name) for name in _REAL}
        cpu_s, own_bytes, own = sent[_MEASURED]
        _cpu_s, first_bytes, heartbeat = sent[_FIRST]
        contents = list(self._list_received(_MEASURED, heartbeat))
        contents.extend(self._list_summaries(sent[_OTHER_REGION][2]))
        receiver = MessageReceiver(self.region.hosts[_MEASURED])
        before = process_time()
        for content in contents:
            receiver.receive(content)
        cpu_s += process_time() - before
        for name in (_FIRST, _OTHER_REGION):
            for message in self._list_received(name, own):
                MessageReceiver(self.region.hosts[name]).receive(message)
        return HostCosts(
            own_bytes,
            sum(map(len, contents)),
            cpu_s,
            first_bytes - own_bytes,
        )

    def _send(self, name: str) -> tuple[float, int, list[bytes]]:
        endpoint = self._endpoints[name]
        endpoint.take()
        before = process_time()
        self.region.hosts[name].send_heartbeats()
        return process_time() - before, *endpoint.take()

    def _list_received(
        self, receiver: str, contents: list[bytes]
    ) -> Iterator[bytes]:
        """Yield the heartbeats of all other hosts of a host's region.

        :param contents: messages of one host that theirs are like.
        """
        for name in self.region.names:
            if name != receiver and name[0] == receiver[0]:
                yield from _rename(contents, name)

    def _list_summaries(self, contents: list[bytes]) -> Iterator[bytes]:
        """Yield the summaries of the other regions."""
        yield from contents
        yield from _rename(contents, 'c0001')

    def _replace_servers(self, changes: int) -> None:
        """Let a second pass with its changes, until there were so many."""
        self.clock.advance(_HEARTBEAT_S)
        for _ in range(min(_CHANGE_COUNT, changes - self._changes)):
            self._replace_server()

    def _replace_server(self) -> None:
        """Let a server drain, and remove one that drained before."""
        self._changes += 1
        now = self.clock.monotonic()
        for loop in self.region.hosts.values():
            servers = loop.cluster.servers
            entry = _create_server(self._changes, is_draining=False)
            servers.put(entry, now)
            servers.put(_create_server(self._changes, is_draining=True), now)
            servers.remove(f'i-{self._changes - _LEAVING_COUNT:010x}')


def _create_server(number: int, *, is_draining: bool) -> ServerEntry:
    return ServerEntry(
        f'i-{number:010x}',
        'p',
        f'10.0.0.1:{number}',
        'a1',
        4,
        is_draining=is_draining,
        started_ms=_STARTED_MS,
    )


def _count_demand(loop: HeartbeatLoop) -> None:
    now = loop.clock.monotonic()
    for number in range(_CUSTOMER_COUNT):
        loop.tokens.limits.demand.count(f'cust{number:04}', now, amount=0.5)


def _rename(contents: list[bytes], name: str) -> Iterator[bytes]:
    """Yield messages as another host would send them."""
    for content in contents:
        message: Message | None = decode_message(content)
        if isinstance(message, RegionSummary):
            yield encode(replace(message, name=name, region=name[0]))
        elif isinstance(message, (StatusMessage, StatusPart)):
            yield encode(replace(message, name=name))
