"""Construction of the components that requests and background tasks share."""

from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._cluster_assembly import create_cluster_state
from crocusshunt.front._crash_watch import CrashWatch
from crocusshunt.front._isolation_watch import IsolationWatch
from crocusshunt.front._limits import create_shared_limits
from crocusshunt.front._outbox import Outbox
from crocusshunt.front._placer_state import PlacerState
from crocusshunt.front._server_reach import ServerReach
from crocusshunt.front._settings import FrontSettings, SourceFormat
from crocusshunt.front._tokens import TokenService
from crocusshunt.metrics import MetricsSettings, RequestMetrics
from crocusshunt.services import TaskGroup
from crocusshunt.sharing import MinIntervalLimiter


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
    state = PlacerState(
        cold_limiter=MinIntervalLimiter(started_at=clock.monotonic())
    )
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
