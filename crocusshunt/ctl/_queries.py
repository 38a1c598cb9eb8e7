"""Commands that change nothing."""

from pathlib import Path

import msgspec
from result import Err

from crocusshunt.configuration import encode_row
from crocusshunt.ctl._commands import (
    Context,
    ExitStatus,
    register_command,
    report_failure,
)
from crocusshunt.declarations import read_declarations
from crocusshunt.routing import find_faults


@register_command('validate')
async def validate(context: Context) -> ExitStatus:
    """Check the declarations of a directory."""
    tables = read_declarations(Path(context.arguments['DIR']))
    if isinstance(tables, Err):
        print(tables.err_value.describe())
        return ExitStatus.wrong_input
    faults = find_faults(tables.ok_value)
    for fault in faults:
        print(fault)
    if faults:
        return ExitStatus.wrong_input
    print('valid')
    return ExitStatus.done


@register_command('get')
async def get(context: Context) -> ExitStatus:
    """Print the rows in force."""
    snapshot = await context.client.get_snapshot()
    if isinstance(snapshot, Err):
        return report_failure(snapshot.err_value)
    wanted = context.arguments['TABLE']
    for table, named in sorted(snapshot.ok_value.tables.rows.items()):
        if wanted not in {None, table}:
            continue
        for _name, row in sorted(named.items()):
            print(f'{table}\t{encode_row(row)}')
    return ExitStatus.done


@register_command('history')
async def show_history(context: Context) -> ExitStatus:
    """Print the accepted changes."""
    changes = await context.client.list_changes(0)
    if isinstance(changes, Err):
        return report_failure(changes.err_value)
    for change in changes.ok_value:
        print(f'{change.revision}\t{change.author}\t{change.reason}')
    return ExitStatus.done


@register_command('status')
async def show_status(context: Context) -> ExitStatus:
    """Print the state of the interface."""
    status = await context.client.get_status()
    if isinstance(status, Err):
        return report_failure(status.err_value)
    print(msgspec.json.encode(status.ok_value).decode())
    return ExitStatus.done
