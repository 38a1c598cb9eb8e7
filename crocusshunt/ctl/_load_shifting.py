"""Commands that move load: shifts, and drains of several servers at once."""

from result import Err, Ok

from crocusshunt.client import Snapshot
from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.core import Fault
from crocusshunt.ctl._changes import edit_fields
from crocusshunt.ctl._commands import (
    Command,
    Context,
    ExitStatus,
    register_command,
)
from crocusshunt.ctl._console import format_table
from crocusshunt.ctl._failures import report_failure
from crocusshunt.ctl._proposals import EditsResult, change_tables
from crocusshunt.drains import Drain, DrainKind
from crocusshunt.shifts import Shift, ShiftCommand, list_commands

_COLUMN_TITLES = ('NAME', 'POOL', 'FROM', 'TO', 'SHARE', 'MOVED', 'STATE')
_DRAIN_KINDS = (
    DrainKind.pool,
    DrainKind.host,
    DrainKind.failure_domain,
    DrainKind.region,
)


@register_command('shift', 'create')
async def create_shift(context: Context) -> ExitStatus:
    """Add a shift; it moves no load until it is started."""
    return await edit_fields(context, 'shift')


@register_command('shift', 'list')
async def list_shifts(context: Context) -> ExitStatus:
    """Show the shifts and their progress."""
    snapshot = await context.client.get_snapshot()
    if isinstance(snapshot, Err):
        return report_failure(context, snapshot.err_value)
    shifts = snapshot.ok_value.tables.select(Shift)
    rows = [_format_columns(shift) for shift in shifts]
    context.console.write_outcome(shifts, format_table(_COLUMN_TITLES, rows))
    return ExitStatus.done


def _create_shift_command(command: ShiftCommand) -> Command:
    async def run(context: Context) -> ExitStatus:
        name = context.arguments['NAME']
        return await change_tables(
            context,
            lambda current: _plan_shift_command(current, name, command),
        )

    return run


def _plan_shift_command(
    current: Snapshot, name: str, command: ShiftCommand
) -> EditsResult:
    shift = current.tables.find(Shift, name)
    if shift is None:
        names = ', '.join(row.name for row in current.tables.select(Shift))
        fault = Fault(f'shift {name}', 'does not exist', names or 'none yet')
        return Err((fault,))
    changed = command(shift)
    if isinstance(changed, Err):
        error = changed.err_value
        problem = f'cannot {error.command} while it is {error.state.value}'
        return Err((Fault(f'shift {name}', problem),))
    if changed.ok_value == shift:
        return Ok(())
    return Ok((EditRequest('shift', name, encode_row(changed.ok_value)),))


def _create_drain_command(kind: DrainKind) -> Command:
    async def run(context: Context) -> ExitStatus:
        target = context.arguments['TARGET']
        drain = Drain(
            _name_drain(kind, target),
            kind,
            target,
            override=bool(context.arguments['--override']),
        )
        return await change_tables(
            context,
            lambda current: _plan_drain(current, drain),
        )

    return run


def _plan_drain(current: Snapshot, drain: Drain) -> EditsResult:
    if current.tables.find(Drain, drain.name) == drain:
        return Ok(())
    return Ok((EditRequest('drain', drain.name, encode_row(drain)),))


def _create_undrain_command(kind: DrainKind) -> Command:
    async def run(context: Context) -> ExitStatus:
        target = context.arguments['TARGET']
        return await change_tables(
            context,
            lambda current: _plan_undrain(current, kind, target),
        )

    return run


def _plan_undrain(
    current: Snapshot, kind: DrainKind, target: str
) -> EditsResult:
    edits = tuple(
        EditRequest('drain', drain.name, None)
        for drain in current.tables.select(Drain)
        if drain.kind is kind and drain.target == target
    )
    if not edits:
        return Err((Fault(f'{kind.value} {target}', 'is not drained'),))
    return Ok(edits)


def _name_drain(kind: DrainKind, target: str) -> str:
    return f'{kind.value}-{target}'.replace('_', '-')


def _format_columns(shift: Shift) -> list[str]:
    return [
        shift.name,
        shift.pool,
        shift.source,
        shift.target,
        f'{shift.share:.0%}',
        f'{shift.moved:.0%}',
        shift.state.value,
    ]


def _register_commands() -> None:
    for word, command in list_commands().items():
        register_command('shift', word)(_create_shift_command(command))
    for kind in _DRAIN_KINDS:
        register_command('drain', kind.value)(_create_drain_command(kind))
        register_command('undrain', kind.value)(_create_undrain_command(kind))


_register_commands()
