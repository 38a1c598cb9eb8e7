"""The parts of a host, put together."""

from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.feeds import FeedStore
from crocusshunt.fleet import FleetSettings, FleetView, HostRecord
from crocusshunt.front._dispatch import Dispatcher
from crocusshunt.front._exchange import Exchanger
from crocusshunt.front._followers import Followers
from crocusshunt.front._handler import HandlerParts, RequestHandler
from crocusshunt.front._knowledge import Books, Knowledge
from crocusshunt.front._limits import SharedLimits
from crocusshunt.front._localities import LocalityPlanner
from crocusshunt.front._outbox import Outbox
from crocusshunt.front._placing import Placer, PlacerState
from crocusshunt.front._readiness import Readiness
from crocusshunt.front._rounds import Rounds
from crocusshunt.front._settings import (
    DeploymentLimits,
    FrontSettings,
    HeaderNames,
    SourceFormat,
)
from crocusshunt.front._targets import TargetChooser
from crocusshunt.front._tokens import TokenDesk
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
# Retries that reach a server a little late still fall into the window.
_RETRY_MARGIN = 0.8


@dataclass(slots=True)
class HostParts:
    """Everything that a host consists of."""

    knowledge: Knowledge
    followers: Followers
    readiness: Readiness
    rounds: Rounds
    handler: RequestHandler
    metrics: RequestMetrics


def assemble_host(
    settings: FrontSettings,
    source: SourceFormat,
    store: FeedStore,
    clock: Clock,
) -> HostParts:
    """Put a host together; nothing is opened yet."""
    knowledge = _create_knowledge(settings, source, clock)
    state = PlacerState()
    followers = Followers(store, source.tables, knowledge, clock)
    metrics = RequestMetrics(MetricsSettings())
    outbox = Outbox(knowledge.fleet)
    tokens = TokenDesk(
        SharedLimits(knowledge, RetryLimiter(_limit_retries(settings.limits))),
        clock,
        outbox.send_to,
    )
    handler = _create_handler(
        knowledge,
        state,
        tokens,
        source.headers,
        metrics,
        clock,
    )
    readiness = Readiness(knowledge, handler.in_flight, followers.has_servers)
    rounds = Rounds(
        knowledge=knowledge,
        followers=followers,
        readiness=readiness,
        planner=LocalityPlanner(knowledge, state),
        tokens=tokens,
        outbox=outbox,
        tasks=TaskGroup(),
        settings=FleetSettings(),
        clock=clock,
        started_at=round(clock.wall() * _MILLISECONDS),
    )
    return HostParts(
        knowledge,
        followers,
        readiness,
        rounds,
        handler,
        metrics,
    )


def _create_handler(
    knowledge: Knowledge,
    state: PlacerState,
    tokens: TokenDesk,
    names: HeaderNames,
    metrics: RequestMetrics,
    clock: Clock,
) -> RequestHandler:
    dispatcher = Dispatcher(
        Placer(knowledge, state, ChoiceSettings(), clock),
        Exchanger(knowledge, state, names, clock),
        tokens.limits.retries,
        clock,
    )
    parts = HandlerParts(
        knowledge=knowledge,
        tokens=tokens,
        targets=TargetChooser(),
        dispatcher=dispatcher,
        recorder=metrics,
    )
    return RequestHandler(parts, names, clock)


def _create_knowledge(
    settings: FrontSettings,
    source: SourceFormat,
    clock: Clock,
) -> Knowledge:
    own = HostRecord(
        name=settings.name,
        ip=settings.ip,
        internal_port=settings.internal_port,
        front_address=settings.front_address,
        failure_domain=settings.failure_domain,
        region=settings.region,
    )
    echo = _describe_echo(source.headers)
    books = Books(
        ServerRegistry(dict(settings.regions)),
        HealthTracker(HealthSettings()),
        FleetView(own, FleetSettings()),
        ConnectionPool(PoolSettings(), echo, clock),
    )
    return Knowledge(books, source, clock)


def _describe_echo(names: HeaderNames) -> EchoPolicy:
    return EchoPolicy(
        names.request_id.lower().encode(),
        names.not_run.lower().encode(),
        frozenset((_STATUS_MISDIRECTED,)),
    )


def _limit_retries(limits: DeploymentLimits) -> RetryLimit:
    return RetryLimit(
        limits.retry_ratio * _RETRY_MARGIN,
        limits.retry_extra * _RETRY_MARGIN,
        limits.retry_window_s,
    )
