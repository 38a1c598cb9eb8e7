"""Checks of the drains in a set of tables."""

from collections.abc import Iterator, Mapping

from crocusshunt.core import Fault
from crocusshunt.drains._places import DrainIndex
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
def _check_targets(tables: Tables) -> Iterator[Fault]:
    domains = tables.select(FailureDomain)
    known: Mapping[DrainKind, set[str]] = {
        DrainKind.server: {row.name for row in tables.select(Server)},
        DrainKind.pool: {row.name for row in tables.select(Pool)},
        DrainKind.failure_domain: {row.name for row in domains},
        DrainKind.region: {row.region for row in domains},
    }
    for drain in tables.select(Drain):
        names = known.get(drain.kind)
        # Hosts are no rows, so the name of one cannot be checked here.
        if names is not None and drain.target not in names:
            kind = drain.kind.value
            problem = f"{kind} '{drain.target}' does not exist"
            allowed = ', '.join(sorted(names)) or 'none yet'
            yield Fault(f'drain {drain.name}', problem, allowed)


@register_check
def _check_last_servers(tables: Tables) -> Iterator[Fault]:
    """Find the drains that together leave a pool without servers."""
    drains = tables.select(Drain)
    places = DrainIndex(drains)
    refusing = [drain for drain in drains if not drain.override]
    for pool in tables.select(Pool):
        servers = [
            row for row in tables.select(Server) if row.pool == pool.name
        ]
        if servers and all(
            places.is_server_draining(server) for server in servers
        ):
            for drain in refusing:
                alone = DrainIndex((drain,))
                if any(alone.is_server_draining(server) for server in servers):
                    yield Fault(
                        f'drain {drain.name}',
                        f"leaves pool '{pool.name}' without servers",
                        'override = yes',
                    )


@register_check
def _check_shifts(tables: Tables) -> Iterator[Fault]:
    """Find the shifts that move load into a region that is drained."""
    regions = {
        drain.target
        for drain in tables.select(Drain)
        if drain.kind is DrainKind.region
    }
    for shift in tables.select(Shift):
        is_filling = shift.state is ShiftState.running
        if is_filling and shift.target in regions:
            problem = f"moves load to region '{shift.target}', being drained"
            yield Fault(f'shift {shift.name}', problem, 'state = paused')
