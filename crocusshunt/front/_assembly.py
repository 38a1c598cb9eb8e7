"""Construction of a host from its components."""

from dataclasses import dataclass, field

from crocusshunt.core import Clock
from crocusshunt.feeds import FeedStore
from crocusshunt.fleet import FleetSettings
from crocusshunt.front._bodies import get_request_limits
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._connections import LibraryResponses
from crocusshunt.front._crash_records import CrashRecords
from crocusshunt.front._followers import Followers
from crocusshunt.front._handler import RequestHandler
from crocusshunt.front._heartbeats import HeartbeatLoop
from crocusshunt.front._ingress import Ingress, create_ingress
from crocusshunt.front._localities import LocalityPlanner
from crocusshunt.front._ports import HostPorts
from crocusshunt.front._readiness import Readiness
from crocusshunt.front._readiness_watch import ReadinessWatch
from crocusshunt.front._region_loads import RegionLoads
from crocusshunt.front._request_assembly import create_handler
from crocusshunt.front._server_reach import ServerReach
from crocusshunt.front._settings import (
    FrontSettings,
    SourceFormat,
)
from crocusshunt.front._shared_parts import create_shared_parts
from crocusshunt.front._start_information import StartInformation
from crocusshunt.metrics import RequestMetrics

_MILLISECONDS = 1000


@dataclass(slots=True)
class HostComponents:
    """The components of a host that its service uses."""

    cluster: ClusterState
    followers: Followers
    records: CrashRecords
    readiness: Readiness
    readiness_watch: ReadinessWatch
    ports: HostPorts
    reach: ServerReach
    heartbeat_loop: HeartbeatLoop
    handler: RequestHandler
    metrics: RequestMetrics
    ingress: Ingress
    library_responses: LibraryResponses = field(
        default_factory=LibraryResponses
    )


def assemble_host(
    settings: FrontSettings,
    source: SourceFormat,
    store: FeedStore,
    clock: Clock,
) -> HostComponents:
    """Create the components of a host without opening any connection."""
    parts = create_shared_parts(settings, source, clock)
    cluster = parts.cluster
    followers = Followers(store, source.tables, cluster, clock)
    records = CrashRecords(
        source.tables.crashes, store, parts.crashes, followers, clock
    )
    information = StartInformation(settings.name, followers, records)
    handler = create_handler(parts, source.headers, information, clock)
    ports = HostPorts(clock)
    readiness = Readiness(
        cluster, handler.in_flight, information, parts.tasks, ports
    )
    heartbeat_loop = HeartbeatLoop(
        cluster=cluster,
        followers=followers,
        readiness=readiness,
        planner=LocalityPlanner(
            cluster, parts.state, RegionLoads(cluster, parts.state.offered)
        ),
        tokens=parts.tokens,
        crashes=parts.crashes,
        reach=parts.reach,
        outbox=parts.outbox,
        tasks=parts.tasks,
        settings=FleetSettings(),
        clock=clock,
        started_at=round(clock.wall() * _MILLISECONDS),
    )
    return HostComponents(
        cluster,
        followers,
        records,
        readiness,
        ReadinessWatch(readiness, clock),
        ports,
        parts.reach,
        heartbeat_loop,
        handler,
        parts.metrics,
        create_ingress(settings, lambda: get_request_limits(cluster.index)),
    )
