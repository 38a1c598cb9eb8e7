"""Commands that change tables by declarations or single rows."""

from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

from result import Err, Ok, Result

from crocusshunt.client import Snapshot
from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.core import Fault, InputSource, convert_fields
from crocusshunt.ctl._commands import Context, ExitStatus, register_command
from crocusshunt.ctl._failures import report_failure, report_faults
from crocusshunt.ctl._proposals import EditsResult, change_tables, make_plan
from crocusshunt.declarations import (
    DECLARED_TABLES,
    compare_tables,
    format_fields,
    read_declarations,
)
from crocusshunt.routing import Server, ServerState, Tables
from crocusshunt.schema import find_row_type, is_table, list_tables


@register_command('plan')
async def show_plan(context: Context) -> ExitStatus:
    """Show what applying the declarations of a directory would change."""
    tables = read_declarations(Path(context.arguments['DIR']))
    if isinstance(tables, Err):
        return report_faults(context, tables.err_value.faults)
    snapshot = await context.client.get_snapshot()
    if isinstance(snapshot, Err):
        return report_failure(context, snapshot.err_value)
    desired = tables.ok_value
    planned = make_plan(
        snapshot.ok_value,
        lambda current: _plan_declarations(current, desired),
    )
    if isinstance(planned, Err):
        return report_faults(context, planned.err_value)
    document = planned.ok_value.document
    context.console.write_outcome(document, document.describe())
    return ExitStatus.done


@register_command('apply')
async def apply_declarations(context: Context) -> ExitStatus:
    """Make the declared tables equal to the declarations of a directory."""
    tables = read_declarations(Path(context.arguments['DIR']))
    if isinstance(tables, Err):
        return report_faults(context, tables.err_value.faults)
    desired = tables.ok_value
    return await change_tables(
        context, lambda current: _plan_declarations(current, desired)
    )


@register_command('edit')
async def edit_row(context: Context) -> ExitStatus:
    """Set fields of one row, or add the row if it does not exist."""
    table = context.arguments['TABLE']
    if not is_table(table):
        allowed = ', '.join(list_tables())
        return report_faults(context, (Fault(table, 'unknown table', allowed),))
    return await edit_fields(context, table)


async def edit_fields(context: Context, table: str) -> ExitStatus:
    """Set the fields given on the command line in the named row of a table."""
    values = _parse_assignments(context.arguments['ASSIGNMENT'])
    if isinstance(values, Err):
        return report_faults(context, values.err_value)
    fields = values.ok_value
    name = context.arguments['NAME']
    return await change_tables(
        context,
        lambda current: _plan_edit(current.tables, (table, name), fields),
    )


@register_command('remove')
async def remove_row(context: Context) -> ExitStatus:
    """Remove one row."""
    table = context.arguments['TABLE']
    name = context.arguments['NAME']

    def plan_removal(current: Snapshot) -> EditsResult:
        if name not in current.tables.rows.get(table, {}):
            return Err((Fault(f'{table} {name}', 'does not exist'),))
        return Ok((EditRequest(table, name, None),))

    return await change_tables(context, plan_removal)


@register_command('drain')
async def drain_server(context: Context) -> ExitStatus:
    """Stop sending new requests to a backend server."""
    return await _set_state(context, ServerState.draining)


@register_command('undrain')
async def undrain_server(context: Context) -> ExitStatus:
    """Send new requests to a drained backend server again."""
    return await _set_state(context, ServerState.active)


async def _set_state(context: Context, state: ServerState) -> ExitStatus:
    name = context.arguments['SERVER']

    def plan_state(current: Snapshot) -> EditsResult:
        server = current.tables.find(Server, name)
        if server is None:
            allowed = ', '.join(
                row.name for row in current.tables.select(Server)
            )
            return Err((Fault(f'server {name}', 'does not exist', allowed),))
        if server.state is state:
            return Ok(())
        row = encode_row(replace(server, state=state))
        return Ok((EditRequest('server', name, row),))

    return await change_tables(context, plan_state)


def _plan_declarations(current: Snapshot, desired: Tables) -> EditsResult:
    return Ok(compare_tables(current.tables, desired, DECLARED_TABLES))


def _parse_assignments(
    texts: Iterable[str],
) -> Result[dict[str, str], tuple[Fault, ...]]:
    values: dict[str, str] = {}
    faults: list[Fault] = []
    for text in texts:
        field, separator, given = text.partition('=')
        if not separator or field == 'name':
            faults.append(Fault(text, 'is not an assignment', 'field=value'))
        values[field] = given
    return Err(tuple(faults)) if faults else Ok(values)


def _plan_edit(
    tables: Tables,
    target: tuple[str, str],
    values: dict[str, str],
) -> EditsResult:
    table, name = target
    current = tables.rows.get(table, {}).get(name)
    known = {} if current is None else format_fields(current)
    fields = {**known, **values, 'name': name}
    source = InputSource(f'{table} {name}', is_text=True)
    row = convert_fields(source, fields, find_row_type(table))
    if isinstance(row, Err):
        return row
    if row.ok_value == current:
        return Ok(())
    return Ok((EditRequest(table, name, encode_row(row.ok_value)),))
