"""Commands that change declared tables and rows."""

from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

from result import Err, Ok, Result

from crocusshunt.client import Snapshot
from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.core import Fault, InputSource, convert_fields
from crocusshunt.ctl._commands import Context, ExitStatus, register_command
from crocusshunt.ctl._failures import report_failure, report_faults
from crocusshunt.ctl._proposals import Edits, change_tables, make_plan
from crocusshunt.declarations import (
    DECLARED_TABLES,
    compare_tables,
    read_declarations,
    write_fields,
)
from crocusshunt.routing import Server, ServerState, Tables
from crocusshunt.schema import find_row_type, is_table, list_tables


@register_command('plan')
async def plan(context: Context) -> ExitStatus:
    """Show what applying a directory would do."""
    tables = read_declarations(Path(context.arguments['DIR']))
    if isinstance(tables, Err):
        return report_faults(context, tables.err_value.faults)
    snapshot = await context.client.get_snapshot()
    if isinstance(snapshot, Err):
        return report_failure(context, snapshot.err_value)
    wanted = tables.ok_value
    planned = make_plan(
        snapshot.ok_value,
        lambda held: _compare(held, wanted),
    )
    if isinstance(planned, Err):
        return report_faults(context, planned.err_value)
    document = planned.ok_value.document
    context.console.show(document, document.describe())
    return ExitStatus.done


@register_command('apply')
async def apply(context: Context) -> ExitStatus:
    """Put the declarations of a directory in force."""
    tables = read_declarations(Path(context.arguments['DIR']))
    if isinstance(tables, Err):
        return report_faults(context, tables.err_value.faults)
    wanted = tables.ok_value
    return await change_tables(context, lambda held: _compare(held, wanted))


@register_command('edit')
async def edit_row(context: Context) -> ExitStatus:
    """Change some fields of one row, or add the row."""
    table = context.arguments['TABLE']
    if not is_table(table):
        allowed = ', '.join(list_tables())
        return report_faults(context, (Fault(table, 'unknown table', allowed),))
    return await edit_fields(context, table)


async def edit_fields(context: Context, table: str) -> ExitStatus:
    """Change the assigned fields of the named row of a table."""
    values = _parse_assignments(context.arguments['ASSIGNMENT'])
    if isinstance(values, Err):
        return report_faults(context, values.err_value)
    fields = values.ok_value
    name = context.arguments['NAME']
    return await change_tables(
        context,
        lambda held: _edit(held.tables, (table, name), fields),
    )


@register_command('remove')
async def remove_row(context: Context) -> ExitStatus:
    """Remove one row."""
    table = context.arguments['TABLE']
    name = context.arguments['NAME']

    def plan_removal(held: Snapshot) -> Edits:
        if name not in held.tables.rows.get(table, {}):
            return Err((Fault(f'{table} {name}', 'does not exist'),))
        return Ok((EditRequest(table, name, None),))

    return await change_tables(context, plan_removal)


@register_command('drain')
async def drain(context: Context) -> ExitStatus:
    """Give a backend server no new work."""
    return await _set_state(context, ServerState.draining)


@register_command('undrain')
async def undrain(context: Context) -> ExitStatus:
    """Give a backend server new work again."""
    return await _set_state(context, ServerState.active)


async def _set_state(context: Context, state: ServerState) -> ExitStatus:
    name = context.arguments['SERVER']

    def plan_state(held: Snapshot) -> Edits:
        server = held.tables.find(Server, name)
        if server is None:
            allowed = ', '.join(row.name for row in held.tables.select(Server))
            return Err((Fault(f'server {name}', 'does not exist', allowed),))
        if server.state is state:
            return Ok(())
        row = encode_row(replace(server, state=state))
        return Ok((EditRequest('server', name, row),))

    return await change_tables(context, plan_state)


def _compare(held: Snapshot, wanted: Tables) -> Edits:
    return Ok(compare_tables(held.tables, wanted, DECLARED_TABLES))


def _parse_assignments(
    texts: Iterable[str],
) -> Result[dict[str, str], tuple[Fault, ...]]:
    values: dict[str, str] = {}
    faults: list[Fault] = []
    for text in texts:
        field, separator, given = text.partition('=')
        if not separator or field == 'name':
            faults.append(Fault(text, 'is no assignment', 'field=value'))
        values[field] = given
    return Err(tuple(faults)) if faults else Ok(values)


def _edit(
    tables: Tables,
    target: tuple[str, str],
    values: dict[str, str],
) -> Edits:
    table, name = target
    held = tables.rows.get(table, {}).get(name)
    known = {} if held is None else write_fields(held)
    fields = {**known, **values, 'name': name}
    source = InputSource(f'{table} {name}', is_text=True)
    row = convert_fields(source, fields, find_row_type(table))
    if isinstance(row, Err):
        return row
    if row.ok_value == held:
        return Ok(())
    return Ok((EditRequest(table, name, encode_row(row.ok_value)),))
