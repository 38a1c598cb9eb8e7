"""Commands that show, export and verify the audit trail."""

from collections.abc import Iterator
from pathlib import Path

from result import Err

from crocusshunt.audit import encode_record, read_trail, verify_trail
from crocusshunt.configuration import Change
from crocusshunt.core import Fault
from crocusshunt.ctl._commands import Context, ExitStatus, register_command
from crocusshunt.ctl._failures import (
    report_failure,
    report_faults,
    report_refusal,
)
from crocusshunt.ctl._queries import format_time


@register_command('audit')
async def show_audit(context: Context) -> ExitStatus:
    """Show who changed which rows, when and why."""
    changes = await context.client.list_all_changes()
    if isinstance(changes, Err):
        return report_failure(context, changes.err_value)
    context.console.write_outcome(
        changes.ok_value,
        [
            line
            for change in changes.ok_value
            for line in _format_change(change)
        ],
    )
    return ExitStatus.done


@register_command('audit', 'export')
async def export_audit(context: Context) -> ExitStatus:
    """Write the whole trail to a file, verify it and show its head digest."""
    changes = await context.client.list_all_changes(
        context.console.write_progress
    )
    if isinstance(changes, Err):
        return report_failure(context, changes.err_value)
    path = Path(context.arguments['FILE'])
    lines = [f'{encode_record(change)}\n' for change in changes.ok_value]
    try:
        path.write_text(''.join(lines), encoding='utf-8')
    except OSError as error:
        return report_faults(context, (Fault(str(path), str(error)),))
    return _show_verification(context, changes.ok_value)


@register_command('audit', 'verify')
async def verify_audit(context: Context) -> ExitStatus:
    """Verify an exported trail without the operator API or the store."""
    path = Path(context.arguments['FILE'])
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return report_faults(context, (Fault(str(path), str(error)),))
    records = read_trail(text.splitlines())
    if isinstance(records, Err):
        unreadable = records.err_value
        fault = Fault(f'{path} line {unreadable.line}', unreadable.detail)
        return report_faults(context, (fault,))
    return _show_verification(context, records.ok_value)


def _show_verification(
    context: Context, records: tuple[Change, ...]
) -> ExitStatus:
    head = context.arguments['--head'] or ''
    verified = verify_trail(records, head)
    if isinstance(verified, Err):
        report_refusal(
            context,
            verified.err_value.code,
            verified.err_value.describe(),
            'keep this file, export again and compare',
        )
        return ExitStatus.refused
    trail = verified.ok_value
    context.console.write_outcome(
        trail,
        (
            f'{trail.records} records, whole up to revision {trail.revision}',
            f'head {trail.digest}',
            'keep the head elsewhere; verify with --head=DIGEST',
        ),
    )
    return ExitStatus.done


def _format_change(change: Change) -> Iterator[str]:
    time = format_time(change.time)
    yield (
        f'revision {change.revision}  {time}  {change.author}  '
        f'{change.change_id}: {change.reason}'
    )
    for edit in change.edits:
        yield f'  {edit.table} {edit.name}'
        yield f'    before {edit.before or "none"}'
        yield f'    after  {edit.after or "none"}'
