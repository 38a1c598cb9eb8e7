"""Construction of the components that requests pass through."""

from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._cluster_assembly import create_cluster_state
from crocusshunt.front._crash_watch import CrashWatch
from crocusshunt.front._dispatch import Dispatcher
from crocusshunt.front._eligible_servers import EligibleServers
from crocusshunt.front._exchange import Exchanger
from crocusshunt.front._forwarding import Forwarder
from crocusshunt.front._handler import HandlerComponents, RequestHandler
from crocusshunt.front._isolation_watch import IsolationWatch
from crocusshunt.front._limits import create_shared_limits
from crocusshunt.front._outbox import Outbox
from crocusshunt.front._placement import Placer
from crocusshunt.front._placer_state import PlacerState
from crocusshunt.front._refusals import RefusalAdvisor
from crocusshunt.front._relay import Relay
from crocusshunt.front._retry_rules import RetryRules
from crocusshunt.front._server_reach import ServerReach
from crocusshunt.front._settings import (
    FrontSettings,
    HeaderNames,
    SourceFormat,
)
from crocusshunt.front._tokens import TokenService
from crocusshunt.metrics import MetricsSettings, RequestMetrics
from crocusshunt.placement import ChoiceSettings
from crocusshunt.services import TaskGroup


@dataclass(frozen=True, slots=True)
class SharedParts:
    """Components that requests and background tasks share."""

    cluster: ClusterState
    state: PlacerState
    tasks: TaskGroup
    crashes: CrashWatch
    reach: ServerReach
    outbox: Outbox
    tokens: TokenService
    metrics: RequestMetrics


def create_shared_parts(
    settings: FrontSettings, source: SourceFormat, clock: Clock
) -> SharedParts:
    """Create the components, without opening any connection."""
    cluster = create_cluster_state(settings, source, clock)
    tasks = TaskGroup()
    outbox = Outbox(cluster.fleet)
    limits = create_shared_limits(cluster, settings, clock)
    state = PlacerState()
    return SharedParts(
        cluster=cluster,
        state=state,
        tasks=tasks,
        crashes=CrashWatch(
            cluster,
            tasks,
            clock,
            IsolationWatch(cluster, clock, state.isolation),
        ),
        reach=ServerReach(cluster, tasks, clock),
        outbox=outbox,
        tokens=TokenService(limits, clock, outbox.send_to),
        metrics=RequestMetrics(MetricsSettings()),
    )


def create_handler(
    parts: SharedParts, names: HeaderNames, clock: Clock
) -> RequestHandler:
    """Create the components that a request passes through."""
    cluster = parts.cluster
    eligible = EligibleServers(cluster, parts.state, clock)
    placer = Placer(cluster, parts.state, eligible, ChoiceSettings(), clock)
    retries = parts.tokens.limits.retries
    dispatcher = Dispatcher(
        placer,
        RefusalAdvisor(cluster, parts.state, placer, eligible, clock),
        Exchanger(
            cluster, parts.state, parts.crashes, parts.reach, names, clock
        ),
        parts.crashes,
        RetryRules(parts.crashes.isolation, parts.reach, retries, clock),
        retries,
        clock,
    )
    components = HandlerComponents(
        cluster=cluster,
        tokens=parts.tokens,
        forwarder=Forwarder(
            dispatcher,
            Relay(cluster, parts.state, names, clock),
            parts.reach,
            retries,
        ),
        recorder=parts.metrics,
    )
    return RequestHandler(components, names, clock)
