"""Hosts whose datagrams are delivered immediately."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from string import digits
from typing import cast
from unittest.mock import Mock

from crocusshunt.catalog import Catalog, CatalogIndex, CustomerRule
from crocusshunt.core import Clock, ManualClock
from crocusshunt.crashes import OriginIsolation
from crocusshunt.fleet import (
    DatagramEndpoint,
    FleetSettings,
    FleetView,
    HostRecord,
)
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._crash_records import CrashRecords
from crocusshunt.front._crash_watch import CrashWatch
from crocusshunt.front._followers import Followers
from crocusshunt.front._heartbeats import HeartbeatLoop
from crocusshunt.front._isolation_watch import IsolationWatch
from crocusshunt.front._limits import SharedLimits
from crocusshunt.front._localities import LocalityPlanner
from crocusshunt.front._outbox import Outbox
from crocusshunt.front._placer_state import PlacerState
from crocusshunt.front._receiver import MessageReceiver
from crocusshunt.front._region_loads import RegionLoads
from crocusshunt.front._retry_watch import RetryWatch
from crocusshunt.front._server_reach import ServerReach
from crocusshunt.front._tokens import TokenService
from crocusshunt.placement import (
    HealthSettings,
    HealthTracker,
    ServerEntry,
    ServerRegistry,
)
from crocusshunt.services import TaskGroup
from crocusshunt.sharing import RetryLimit, RetryLimiter
from crocusshunt.standin import MemoryFeedStore

RULE = CustomerRule('court', rate=100, burst=100)


def create_record(name: str) -> HostRecord:
    """Return the record of a host; the region is the start of its name."""
    region = name.rstrip(digits)
    return HostRecord(name, name, 7600, f'{name}:80', f'{region}1', region)


def _create_idle_followers(_cluster: Mock) -> Followers:
    return cast(
        Followers,
        Mock(
            versions=(),
            is_failing=Mock(return_value=False),
            hosts=Mock(image=Mock(rows={}, version=0)),
        ),
    )


@dataclass(slots=True)
class Region:
    """Hosts, and the servers that all of them know.

    :param names: names of all hosts, which know each other's records.
    :param create_followers: creates the followers of a host.
    """

    names: tuple[str, ...] = ('a1', 'a2')
    clock: Clock = field(default_factory=ManualClock)
    tasks: TaskGroup | Mock = field(default_factory=Mock)
    create_followers: Callable[[Mock], Followers] = _create_idle_followers
    hosts: dict[str, HeartbeatLoop] = field(default_factory=dict)
    store: MemoryFeedStore = field(default_factory=MemoryFeedStore)
    records: dict[str, CrashRecords] = field(default_factory=dict)

    def start(self, name: str) -> HeartbeatLoop:
        """Start a host that knows the records of all others."""
        fleet = FleetView(create_record(name), FleetSettings())
        for peer in self.names:
            fleet.put(create_record(peer))
        servers = ServerRegistry({'a1': 'a', 'b1': 'b'})
        for number in range(4):
            domain = 'a1' if number < 2 else 'b1'
            entry = ServerEntry(f's{number}', 'p', f'x:{number}', domain, 4)
            servers.put(entry, now=0)
        cluster = Mock(
            fleet=fleet,
            servers=servers,
            health=HealthTracker(HealthSettings()),
            index=CatalogIndex(Catalog(1, customers=(RULE,))),
        )
        cluster.merge_draining = partial(ClusterState.merge_draining, cluster)
        outbox = Outbox(fleet)
        outbox.endpoint = cast(DatagramEndpoint, _LoopbackEndpoint(self))
        state = PlacerState()
        limits = SharedLimits(
            cluster,
            RetryWatch(RetryLimiter(RetryLimit(0, 0, 1)), self.clock),
            self.clock,
        )
        heartbeat_loop = HeartbeatLoop(
            cluster=cluster,
            followers=self.create_followers(cluster),
            readiness=Mock(is_ready=True),
            planner=LocalityPlanner(
                cluster, state, RegionLoads(cluster, state.offered)
            ),
            tokens=TokenService(limits, self.clock, outbox.send_to),
            crashes=CrashWatch(
                cluster,
                cast(TaskGroup, self.tasks),
                self.clock,
                IsolationWatch(cluster, self.clock, OriginIsolation()),
            ),
            reach=ServerReach(cluster, cast(TaskGroup, self.tasks), self.clock),
            outbox=outbox,
            tasks=cast(TaskGroup, self.tasks),
            settings=FleetSettings(),
            clock=self.clock,
            started_at=len(self.hosts) + 1,
        )
        self.hosts[name] = heartbeat_loop
        self.records[name] = CrashRecords(
            'crashes',
            self.store,
            heartbeat_loop.crashes,
            heartbeat_loop.followers,
            self.clock,
        )
        heartbeat_loop.run_once()
        return heartbeat_loop


@dataclass(frozen=True, slots=True)
class _LoopbackEndpoint:
    region: Region

    def send(self, content: bytes, host: str, port: int) -> None:
        """Deliver a datagram if the receiving host was started."""
        heartbeat_loop = self.region.hosts.get(host)
        if heartbeat_loop is not None:
            MessageReceiver(heartbeat_loop).receive(content)
