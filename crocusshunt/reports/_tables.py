"""Tables of a report as HTML."""

from collections.abc import Iterable, Mapping, Sequence
from html import escape

from crocusshunt.metrics import Latencies
from crocusshunt.reports._plots import draw_quantiles

_QUANTILES = (0.5, 0.9, 0.99, 0.999)


def render_latencies(kind: str, series: Mapping[str, Latencies]) -> str:
    """Return a plot and a table of latencies by label.

    :param kind: what the labels name.
    """
    titles = (kind, 'answered', *(f'{share:.1%} ms' for share in _QUANTILES))
    rows = [
        (
            label,
            str(latencies.count),
            *(f'{latencies.find_quantile(each):.1f}' for each in _QUANTILES),
        )
        for label, latencies in series.items()
    ]
    heading = f'<h2>Latency by {kind}</h2>'
    return heading + draw_quantiles(series) + render_table(titles, rows)


def render_table(
    titles: Iterable[str],
    rows: Iterable[Sequence[str]],
) -> str:
    """Return a table as HTML.

    >>> render_table(('a',), [('<1',)])
    '<table><tr><th>a</th></tr><tr><td>&lt;1</td></tr></table>'
    """
    head = ''.join(f'<th>{escape(title)}</th>' for title in titles)
    body = ''.join(
        f'<tr>{"".join(f"<td>{escape(cell)}</td>" for cell in row)}</tr>'
        for row in rows
    )
    return f'<table><tr>{head}</tr>{body}</table>'
