"""Validation of the drains in the configuration tables."""

from collections.abc import Iterator, Mapping

from crocusshunt.core import Fault
from crocusshunt.drains._index import DrainIndex
from crocusshunt.drains._rows import Drain, DrainKind
from crocusshunt.routing import (
    FailureDomain,
    Pool,
    Server,
    Tables,
    register_check,
)
from crocusshunt.shifts import Shift, ShiftState


@register_check
def _check_target_names(tables: Tables) -> Iterator[Fault]:
    domains = tables.select(FailureDomain)
    names_by_kind: Mapping[DrainKind, set[str]] = {
        DrainKind.server: {row.name for row in tables.select(Server)},
        DrainKind.pool: {row.name for row in tables.select(Pool)},
        DrainKind.failure_domain: {row.name for row in domains},
        DrainKind.region: {row.region for row in domains},
    }
    for drain in tables.select(Drain):
        names = names_by_kind.get(drain.kind)
        # The tables have no rows for hosts, so host names cannot be
        # checked here.
        if names is not None and drain.target not in names:
            kind = drain.kind.value
            problem = f"{kind} '{drain.target}' does not exist"
            allowed = ', '.join(sorted(names)) or 'none yet'
            yield Fault(f'drain {drain.name}', problem, allowed)


@register_check
def _check_last_servers(tables: Tables) -> Iterator[Fault]:
    """Find the drains that together leave a pool without servers.

    A drain with an override is exempt.
    """
    drains = tables.select(Drain)
    index = DrainIndex(drains)
    enforced = [drain for drain in drains if not drain.override]
    for pool in tables.select(Pool):
        servers = [
            row for row in tables.select(Server) if row.pool == pool.name
        ]
        if servers and all(
            index.is_server_draining(server) for server in servers
        ):
            for drain in enforced:
                single_index = DrainIndex((drain,))
                if any(
                    single_index.is_server_draining(server)
                    for server in servers
                ):
                    yield Fault(
                        f'drain {drain.name}',
                        f"leaves pool '{pool.name}' without servers",
                        'override = yes',
                    )


@register_check
def _check_shifts(tables: Tables) -> Iterator[Fault]:
    """Find the running shifts that move load into a drained region."""
    regions = {
        drain.target
        for drain in tables.select(Drain)
        if drain.kind is DrainKind.region
    }
    for shift in tables.select(Shift):
        is_moving_load = shift.state is ShiftState.running
        if is_moving_load and shift.target in regions:
            problem = f"moves load to region '{shift.target}', being drained"
            yield Fault(f'shift {shift.name}', problem, 'state = paused')
