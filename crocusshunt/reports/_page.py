"""Summary of a run as a single HTML page without scripts or other files."""

from collections.abc import Sequence
from html import escape

from crocusshunt.reports._losses import Losses
from crocusshunt.reports._loss_tables import render_losses
from crocusshunt.reports._plots import ChartBar, draw_bars
from crocusshunt.reports._summary import CustomerSummary, Summary
from crocusshunt.reports._tables import render_latencies, render_table

_STYLE = (
    'body{font:14px sans-serif;margin:2em;max-width:60em}'
    'svg text{font:12px sans-serif}'
    'td,th{padding:2px 10px;text-align:right}'
    'td:first-child,th:first-child{text-align:left}'
)
_CUSTOMER_TITLES = (
    'customer',
    'requests',
    'answered',
    'refused',
    'refused within rate',
    'unknown',
    'median ms',
    '99% ms',
)


def render_page(
    title: str, summary: Summary, losses: Losses | None = None
) -> str:
    """Return the HTML page of a run.

    :param losses: where requests were lost, None to leave it out.

    >>> from crocusshunt.reports import summarize
    >>> render_page('run', summarize((), {})).startswith('<!doctype html>')
    True
    """
    parts = (
        f'<h1>{escape(title)}</h1>',
        f'<p>{_render_overview(summary)}</p>',
        '<h2>Customers: share answered</h2>',
        draw_bars([_make_bar(one) for one in summary.customers]),
        render_table(
            _CUSTOMER_TITLES,
            [_list_cells(one) for one in summary.customers],
        ),
        render_latencies('route', summary.routes),
        render_latencies('region', summary.regions),
        '' if losses is None else render_losses(losses),
    )
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f'<title>{escape(title)}</title><style>{_STYLE}</style></head>'
        f'<body>{"".join(parts)}</body></html>\n'
    )


def _render_overview(summary: Summary) -> str:
    worst = summary.worst_served
    if worst is None:
        return f'{summary.requests} requests, none of a customer.'
    counts = [one.wrongful for one in summary.customers]
    wrongful = sum(count for count in counts if count is not None)
    checked = sum(count is not None for count in counts)
    return (
        f'{summary.requests} requests. Worst served: {escape(worst.name)}, '
        f'{worst.answered_share:.2%} answered. Refused although within rate: '
        f'{wrongful}, checked for {checked} of {len(counts)} customers.'
    )


def _make_bar(one: CustomerSummary) -> ChartBar:
    return ChartBar(one.name, one.answered_share, f'{one.answered_share:.2%}')


def _list_cells(one: CustomerSummary) -> Sequence[str]:
    return [
        one.name,
        str(one.requests),
        str(one.answered),
        str(one.refused),
        'rate not known' if one.wrongful is None else str(one.wrongful),
        str(one.unknown),
        f'{one.median_ms:.1f}',
        f'{one.tail_ms:.1f}',
    ]
