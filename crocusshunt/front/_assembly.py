"""Construction of a host from its components."""

from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.feeds import FeedStore
from crocusshunt.fleet import FleetSettings, FleetView, HostRecord
from crocusshunt.front._cluster import ClusterComponents, ClusterState
from crocusshunt.front._dispatch import Dispatcher
from crocusshunt.front._exchange import Exchanger
from crocusshunt.front._followers import Followers
from crocusshunt.front._handler import HandlerComponents, RequestHandler
from crocusshunt.front._heartbeats import HeartbeatLoop
from crocusshunt.front._limits import SharedLimits
from crocusshunt.front._localities import LocalityPlanner
from crocusshunt.front._outbox import Outbox
from crocusshunt.front._placement import Placer
from crocusshunt.front._placer_state import PlacerState
from crocusshunt.front._readiness import Readiness
from crocusshunt.front._refusals import RefusalAdvisor
from crocusshunt.front._settings import (
    DeploymentLimits,
    FrontSettings,
    HeaderNames,
    SourceFormat,
)
from crocusshunt.front._tokens import TokenService
from crocusshunt.metrics import MetricsSettings, RequestMetrics
from crocusshunt.placement import (
    ChoiceSettings,
    HealthSettings,
    HealthTracker,
    ServerRegistry,
)
from crocusshunt.services import TaskGroup
from crocusshunt.sharing import RetryLimit, RetryLimiter
from crocusshunt.upstream import ConnectionPool, EchoPolicy, PoolSettings

_MILLISECONDS = 1000
_STATUS_MISDIRECTED = 421
# A retry is counted when it is sent but may reach its server in a later
# window; the margin keeps each window at the servers within the limit.
_RETRY_MARGIN = 0.8


@dataclass(slots=True)
class HostComponents:
    """The components of a host that its service uses."""

    cluster: ClusterState
    followers: Followers
    readiness: Readiness
    heartbeat_loop: HeartbeatLoop
    handler: RequestHandler
    metrics: RequestMetrics


def assemble_host(
    settings: FrontSettings,
    source: SourceFormat,
    store: FeedStore,
    clock: Clock,
) -> HostComponents:
    """Create the components of a host without opening any connection."""
    cluster = _create_cluster_state(settings, source, clock)
    state = PlacerState()
    followers = Followers(store, source.tables, cluster, clock)
    metrics = RequestMetrics(MetricsSettings())
    outbox = Outbox(cluster.fleet)
    tokens = TokenService(
        SharedLimits(
            cluster, RetryLimiter(_create_retry_limit(settings.limits))
        ),
        clock,
        outbox.send_to,
    )
    handler = _create_handler(
        cluster,
        state,
        tokens,
        source.headers,
        metrics,
        clock,
    )
    readiness = Readiness(cluster, handler.in_flight, followers.has_servers)
    heartbeat_loop = HeartbeatLoop(
        cluster=cluster,
        followers=followers,
        readiness=readiness,
        planner=LocalityPlanner(cluster, state),
        tokens=tokens,
        outbox=outbox,
        tasks=TaskGroup(),
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
        metrics,
    )


def _create_handler(
    cluster: ClusterState,
    state: PlacerState,
    tokens: TokenService,
    names: HeaderNames,
    metrics: RequestMetrics,
    clock: Clock,
) -> RequestHandler:
    placer = Placer(cluster, state, ChoiceSettings(), clock)
    dispatcher = Dispatcher(
        placer,
        RefusalAdvisor(cluster, state, placer, clock),
        Exchanger(cluster, state, names, clock),
        tokens.limits.retries,
        clock,
    )
    components = HandlerComponents(
        cluster=cluster,
        tokens=tokens,
        dispatcher=dispatcher,
        recorder=metrics,
    )
    return RequestHandler(components, names, clock)


def _create_cluster_state(
    settings: FrontSettings,
    source: SourceFormat,
    clock: Clock,
) -> ClusterState:
    own = HostRecord(
        name=settings.name,
        ip=settings.ip,
        internal_port=settings.internal_port,
        front_address=settings.front_address,
        failure_domain=settings.failure_domain,
        region=settings.region,
    )
    echo = _create_echo_policy(source.headers)
    components = ClusterComponents(
        ServerRegistry(dict(settings.regions)),
        HealthTracker(HealthSettings()),
        FleetView(own, FleetSettings()),
        ConnectionPool(PoolSettings(), echo, clock),
    )
    return ClusterState(components, source, clock)


def _create_echo_policy(names: HeaderNames) -> EchoPolicy:
    return EchoPolicy(
        names.request_id.lower().encode(),
        names.not_run.lower().encode(),
        frozenset((_STATUS_MISDIRECTED,)),
    )


def _create_retry_limit(limits: DeploymentLimits) -> RetryLimit:
    return RetryLimit(
        limits.retry_ratio * _RETRY_MARGIN,
        limits.retry_extra * _RETRY_MARGIN,
        limits.retry_window_s,
    )
