"""Commands that read the log lines of ended requests."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

from result import Err, Ok, Result

from crocusshunt.core import Fault
from crocusshunt.ctl._commands import Context, ExitStatus, register_command
from crocusshunt.ctl._console import format_table
from crocusshunt.ctl._failures import report_faults, report_refusal
from crocusshunt.declarations import read_declarations
from crocusshunt.reports import (
    CustomerSummary,
    Summary,
    explain_request,
    read_requests,
    render_page,
    summarize,
)
from crocusshunt.routing import Customer

_TOP_PERIOD_S = 1
_TITLES = (
    'CUSTOMER',
    'REQUESTS',
    'ANSWERED',
    'REFUSED',
    'WITHIN RATE',
    'UNKNOWN',
    'P50 MS',
    'P99 MS',
)

_Lines = Result[list[str], tuple[Fault, ...]]


@register_command('explain')
async def explain(context: Context) -> ExitStatus:
    """Show why a request went where it went, or was refused."""
    lines = _read_logs(context)
    if isinstance(lines, Err):
        return report_faults(context, lines.err_value)
    request_id = context.arguments['REQUEST_ID']
    explained = explain_request(request_id, lines.ok_value)
    if isinstance(explained, Err):
        report_refusal(
            context,
            explained.err_value.code,
            f'no line tells of {request_id}',
            'give the logs of every gateway with --log=FILE',
        )
        return ExitStatus.refused
    explanation = explained.ok_value
    context.console.show(explanation, explanation.describe())
    return ExitStatus.done


@register_command('top')
async def show_top(context: Context) -> ExitStatus:
    """Show how each customer fares, once or several times."""
    count = context.arguments['--count']
    if not count.isdecimal() or not int(count):
        fault = Fault('--count', f"'{count}'", 'a whole number from 1')
        return report_faults(context, (fault,))
    for turn in range(int(count)):
        if turn:
            await asyncio.sleep(_TOP_PERIOD_S)
        summary = _summarize(context)
        if isinstance(summary, Err):
            return report_faults(context, summary.err_value)
        customers = summary.ok_value.customers
        rows = [_list_columns(customer) for customer in customers]
        context.console.show(customers, format_table(_TITLES, rows))
    return ExitStatus.done


@register_command('report')
async def write_report(context: Context) -> ExitStatus:
    """Write the figures and plots of a run as a page."""
    summary = _summarize(context)
    if isinstance(summary, Err):
        return report_faults(context, summary.err_value)
    path = Path(context.arguments['--out'])
    page = render_page(path.stem, summary.ok_value)
    try:
        path.write_text(page, encoding='utf-8')
    except OSError as error:
        return report_faults(context, (Fault(str(path), str(error)),))
    count = summary.ok_value.requests
    context.console.show(
        {'requests': count, 'page': str(path)},
        (f'{count} requests in {path}',),
    )
    return ExitStatus.done


def _summarize(context: Context) -> Result[Summary, tuple[Fault, ...]]:
    lines = _read_logs(context)
    if isinstance(lines, Err):
        return lines
    directory = context.arguments['--tables']
    customers: Sequence[Customer] = ()
    if directory:
        tables = read_declarations(Path(directory))
        if isinstance(tables, Err):
            return Err(tables.err_value.faults)
        customers = tables.ok_value.select(Customer)
    rates = {customer.name: customer for customer in customers}
    return Ok(summarize(read_requests(lines.ok_value), rates))


def _read_logs(context: Context) -> _Lines:
    lines: list[str] = []
    for path in context.arguments['--log']:
        try:
            text = Path(path).read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            return Err((Fault(path, str(error), 'a log of a gateway'),))
        lines.extend(text.splitlines())
    return Ok(lines)


def _list_columns(one: CustomerSummary) -> Sequence[object]:
    return [
        one.name,
        one.requests,
        one.answered,
        one.refused,
        '-' if one.wrongful is None else one.wrongful,
        one.unknown,
        f'{one.median_ms:.1f}',
        f'{one.tail_ms:.1f}',
    ]
