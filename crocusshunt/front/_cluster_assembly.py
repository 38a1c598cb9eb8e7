"""Construction of the state that a host has of its cluster."""

from http import HTTPStatus

from crocusshunt.core import Clock
from crocusshunt.fleet import FleetSettings, FleetView, HostRecord
from crocusshunt.front._cluster import ClusterComponents, ClusterState
from crocusshunt.front._settings import (
    FrontSettings,
    HeaderNames,
    SourceFormat,
)
from crocusshunt.placement import (
    HealthSettings,
    HealthTracker,
    ServerRegistry,
)
from crocusshunt.upstream import ConnectionPool, EchoPolicy, PoolSettings


def create_cluster_state(
    settings: FrontSettings,
    source: SourceFormat,
    clock: Clock,
) -> ClusterState:
    """Create an empty state."""
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
        frozenset((HTTPStatus.MISDIRECTED_REQUEST.value,)),
    )
