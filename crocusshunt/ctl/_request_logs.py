"""Commands that evaluate gateways' log lines of ended requests."""

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
    describe_losses,
    explain_request,
    find_losses,
    read_requests,
    render_page,
    summarize,
)
from crocusshunt.routing import Customer

_REFRESH_PERIOD_S = 1
_COLUMN_TITLES = (
    'CUSTOMER',
    'REQUESTS',
    'ANSWERED',
    'REFUSED',
    'WITHIN RATE',
    'UNKNOWN',
    'P50 MS',
    'P99 MS',
)

_LogLines = Result[list[str], tuple[Fault, ...]]


@register_command('explain')
async def show_explanation(context: Context) -> ExitStatus:
    """Show why a request was sent to its backend server, or was refused."""
    lines = _read_logs(context)
    if isinstance(lines, Err):
        return report_faults(context, lines.err_value)
    request_id = context.arguments['REQUEST_ID']
    explained = explain_request(request_id, lines.ok_value)
    if isinstance(explained, Err):
        report_refusal(
            context,
            explained.err_value.code,
            f'no log line mentions {request_id}',
            'give the logs of every gateway with --log=FILE',
        )
        return ExitStatus.refused
    explanation = explained.ok_value
    context.console.write_outcome(explanation, explanation.describe())
    return ExitStatus.done


@register_command('top')
async def show_top(context: Context) -> ExitStatus:
    """Show request counts and latencies per customer, once or repeatedly."""
    count = context.arguments['--count']
    if not count.isdecimal() or not int(count):
        fault = Fault('--count', f"'{count}'", 'a whole number from 1')
        return report_faults(context, (fault,))
    for repetition in range(int(count)):
        if repetition:
            await asyncio.sleep(_REFRESH_PERIOD_S)
        summary = _summarize(context)
        if isinstance(summary, Err):
            return report_faults(context, summary.err_value)
        customers = summary.ok_value.customers
        rows = [_format_columns(customer) for customer in customers]
        context.console.write_outcome(
            customers, format_table(_COLUMN_TITLES, rows)
        )
    return ExitStatus.done


@register_command('report')
async def write_report(context: Context) -> ExitStatus:
    """Write a report with figures and plots as an HTML page.

    The largest losses are also printed.
    """
    lines = _read_logs(context)
    if isinstance(lines, Err):
        return report_faults(context, lines.err_value)
    summary = _summarize(context)
    if isinstance(summary, Err):
        return report_faults(context, summary.err_value)
    path = Path(context.arguments['--out'])
    losses = find_losses(lines.ok_value)
    page = render_page(path.stem, summary.ok_value, losses)
    try:
        path.write_text(page, encoding='utf-8')
    except OSError as error:
        return report_faults(context, (Fault(str(path), str(error)),))
    count = summary.ok_value.requests
    context.console.write_outcome(
        {'requests': count, 'page': str(path)},
        (f'{count} requests in {path}', *describe_losses(losses)),
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


def _read_logs(context: Context) -> _LogLines:
    lines: list[str] = []
    for path in context.arguments['--log']:
        try:
            text = Path(path).read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            return Err((Fault(path, str(error), 'a log of a gateway'),))
        lines.extend(text.splitlines())
    return Ok(lines)


def _format_columns(customer: CustomerSummary) -> Sequence[object]:
    return [
        customer.name,
        customer.requests,
        customer.answered,
        customer.refused,
        '-' if customer.wrongful is None else customer.wrongful,
        customer.unknown,
        f'{customer.median_ms:.1f}',
        f'{customer.tail_ms:.1f}',
    ]
