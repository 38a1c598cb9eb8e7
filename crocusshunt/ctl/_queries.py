"""Commands that only read."""

from collections import Counter
from datetime import UTC, datetime
from pathlib import Path

import msgspec
from result import Err

from crocusshunt.configuration import Change, encode_row
from crocusshunt.core import Fault
from crocusshunt.ctl._commands import Context, ExitStatus, register_command
from crocusshunt.ctl._console import format_table
from crocusshunt.ctl._failures import report_failure, report_faults
from crocusshunt.declarations import format_declarations, read_declarations
from crocusshunt.routing import find_faults
from crocusshunt.schema import is_table, list_tables

_TIME_FORMAT = '%Y-%m-%d %H:%M:%S'


class RowDocument(msgspec.Struct, frozen=True):
    """A row in force, with its fields as JSON."""

    table: str
    name: str
    row: msgspec.Raw


@register_command('validate')
async def validate_declarations(context: Context) -> ExitStatus:
    """Validate the declarations of a directory."""
    tables = read_declarations(Path(context.arguments['DIR']))
    if isinstance(tables, Err):
        return report_faults(context, tables.err_value.faults)
    faults = find_faults(tables.ok_value)
    if faults:
        return report_faults(context, faults)
    counts = Counter(
        {table: len(named) for table, named in tables.ok_value.rows.items()},
    )
    shown = ', '.join(
        f'{count} {table}' for table, count in sorted(counts.items())
    )
    context.console.write_outcome({'valid': counts}, (f'valid: {shown}',))
    return ExitStatus.done


@register_command('get')
async def show_rows(context: Context) -> ExitStatus:
    """Show the rows in force, of all tables, one table or one name."""
    snapshot = await context.client.get_snapshot()
    if isinstance(snapshot, Err):
        return report_failure(context, snapshot.err_value)
    arguments = context.arguments
    selected = (arguments['TABLE'], arguments['NAME'])
    if selected[0] and not is_table(selected[0]):
        fault = Fault(selected[0], 'unknown table', ', '.join(list_tables()))
        return report_faults(context, (fault,))
    rows = [
        RowDocument(table, name, msgspec.Raw(encode_row(row).encode()))
        for table, named in sorted(snapshot.ok_value.tables.rows.items())
        for name, row in sorted(named.items())
        if selected[0] in {None, table} and selected[1] in {None, name}
    ]
    if selected[1] and not rows:
        fault = Fault(f'{selected[0]} {selected[1]}', 'does not exist')
        return report_faults(context, (fault,))
    context.console.write_outcome(
        rows,
        format_table(
            ('TABLE', 'NAME', 'ROW'),
            [(row.table, row.name, bytes(row.row).decode()) for row in rows],
        ),
    )
    return ExitStatus.done


@register_command('export')
async def export_declarations(context: Context) -> ExitStatus:
    """Write the tables in force as declarations to a new directory."""
    snapshot = await context.client.get_snapshot()
    if isinstance(snapshot, Err):
        return report_failure(context, snapshot.err_value)
    directory = Path(context.arguments['DIR'])
    files = format_declarations(snapshot.ok_value.tables)
    try:
        directory.mkdir(parents=True)
        for name, text in files.items():
            (directory / name).write_text(text, encoding='utf-8')
    except OSError as error:
        fault = Fault(str(directory), str(error), 'a new directory')
        return report_faults(context, (fault,))
    revision = snapshot.ok_value.revision
    context.console.write_outcome(
        {'revision': revision, 'files': tuple(files)},
        (f'revision {revision}: {", ".join(files)} in {directory}',),
    )
    return ExitStatus.done


@register_command('history')
async def show_history(context: Context) -> ExitStatus:
    """Show the accepted changes."""
    changes = await context.client.list_all_changes()
    if isinstance(changes, Err):
        return report_failure(context, changes.err_value)
    context.console.write_outcome(
        changes.ok_value,
        format_table(
            ('REVISION', 'TIME (UTC)', 'AUTHOR', 'ROWS', 'REASON'),
            [_format_columns(change) for change in changes.ok_value],
        ),
    )
    return ExitStatus.done


@register_command('status')
async def show_status(context: Context) -> ExitStatus:
    """Show the status of the API process that answers."""
    status = await context.client.get_status()
    if isinstance(status, Err):
        return report_failure(context, status.err_value)
    document = status.ok_value
    age = 'never read'
    if document.evidence_age_s is not None:
        age = f'read {document.evidence_age_s:.1f} s ago'
    context.console.write_outcome(
        document,
        (f'{document.host}: revision {document.revision}, store {age}',),
    )
    return ExitStatus.done


def format_time(seconds: float) -> str:
    """Format a time in UTC.

    :param seconds: seconds since the Unix epoch.

    >>> format_time(0)
    '1970-01-01 00:00:00'
    """
    return datetime.fromtimestamp(seconds, UTC).strftime(_TIME_FORMAT)


def _format_columns(change: Change) -> tuple[object, ...]:
    return (
        change.revision,
        format_time(change.time),
        change.author,
        len(change.edits),
        change.reason,
    )
