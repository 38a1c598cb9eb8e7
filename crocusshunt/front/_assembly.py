"""Construction of a host from its components."""

from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.feeds import FeedStore
from crocusshunt.fleet import FleetSettings
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._cluster_assembly import create_cluster_state
from crocusshunt.front._crash_watch import CrashWatch
from crocusshunt.front._dispatch import Dispatcher
from crocusshunt.front._exchange import Exchanger
from crocusshunt.front._followers import Followers
from crocusshunt.front._handler import HandlerComponents, RequestHandler
from crocusshunt.front._heartbeats import HeartbeatLoop
from crocusshunt.front._limits import create_shared_limits
from crocusshunt.front._localities import LocalityPlanner
from crocusshunt.front._outbox import Outbox
from crocusshunt.front._placement import Placer
from crocusshunt.front._placer_state import PlacerState
from crocusshunt.front._readiness import Readiness
from crocusshunt.front._refusals import RefusalAdvisor
from crocusshunt.front._settings import (
    FrontSettings,
    HeaderNames,
    SourceFormat,
)
from crocusshunt.front._tokens import TokenService
from crocusshunt.metrics import MetricsSettings, RequestMetrics
from crocusshunt.placement import ChoiceSettings
from crocusshunt.services import TaskGroup

_MILLISECONDS = 1000


@dataclass(slots=True)
class HostComponents:
    """The components of a host that its service uses."""

    cluster: ClusterState
    followers: Followers
    readiness: Readiness
    heartbeat_loop: HeartbeatLoop
    handler: RequestHandler
    metrics: RequestMetrics


@dataclass(frozen=True, slots=True)
class _SharedParts:
    """Components that requests and background tasks share."""

    cluster: ClusterState
    state: PlacerState
    tasks: TaskGroup
    crashes: CrashWatch
    outbox: Outbox
    tokens: TokenService
    metrics: RequestMetrics


def assemble_host(
    settings: FrontSettings,
    source: SourceFormat,
    store: FeedStore,
    clock: Clock,
) -> HostComponents:
    """Create the components of a host without opening any connection."""
    parts = _create_shared_parts(settings, source, clock)
    cluster = parts.cluster
    followers = Followers(store, source.tables, cluster, clock)
    handler = _create_handler(parts, source.headers, clock)
    readiness = Readiness(cluster, handler.in_flight, followers.has_servers)
    heartbeat_loop = HeartbeatLoop(
        cluster=cluster,
        followers=followers,
        readiness=readiness,
        planner=LocalityPlanner(cluster, parts.state),
        tokens=parts.tokens,
        crashes=parts.crashes,
        outbox=parts.outbox,
        tasks=parts.tasks,
        settings=FleetSettings(),
        clock=clock,
        started_at=round(clock.wall() * _MILLISECONDS),
    )
    return HostComponents(
        cluster,
        followers,
        readiness,
        heartbeat_loop,
        handler,
        parts.metrics,
    )


def _create_shared_parts(
    settings: FrontSettings, source: SourceFormat, clock: Clock
) -> _SharedParts:
    cluster = create_cluster_state(settings, source, clock)
    tasks = TaskGroup()
    outbox = Outbox(cluster.fleet)
    limits = create_shared_limits(cluster, settings.limits)
    return _SharedParts(
        cluster=cluster,
        state=PlacerState(),
        tasks=tasks,
        crashes=CrashWatch(cluster, tasks, clock),
        outbox=outbox,
        tokens=TokenService(limits, clock, outbox.send_to),
        metrics=RequestMetrics(MetricsSettings()),
    )


def _create_handler(
    parts: _SharedParts, names: HeaderNames, clock: Clock
) -> RequestHandler:
    cluster = parts.cluster
    placer = Placer(cluster, parts.state, ChoiceSettings(), clock)
    dispatcher = Dispatcher(
        placer,
        RefusalAdvisor(cluster, parts.state, placer, clock),
        Exchanger(cluster, parts.state, parts.crashes, names, clock),
        parts.crashes,
        parts.tokens.limits.retries,
        clock,
    )
    components = HandlerComponents(
        cluster=cluster,
        tokens=parts.tokens,
        dispatcher=dispatcher,
        recorder=parts.metrics,
    )
    return RequestHandler(components, names, clock)
