"""Plots as inline SVG."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from html import escape

from crocusshunt.metrics import Latencies

_WIDTH_PX = 640
_HEIGHT_PX = 240
_LABEL_PX = 180
_ROW_PX = 20
_BAR_PX = 14
_QUANTILE_STEPS = 100
_SHADES = ('#1f6f8b', '#c44536', '#3a7d44', '#7b5ea7', '#b8860b', '#555555')


@dataclass(frozen=True, slots=True)
class ChartBar:
    """One bar of a plot.

    :param share: its length, from 0 to 1.
    :param shown: text behind it.
    """

    label: str
    share: float
    shown: str


def draw_bars(bars: Sequence[ChartBar]) -> str:
    """Return horizontal bars.

    >>> draw_bars((ChartBar('court', 0.5, '50%'),)).count('<rect')
    1
    """
    height = _ROW_PX * len(bars)
    rows = ''.join(_draw_bar(column, row) for row, column in enumerate(bars))
    return _frame(_LABEL_PX + _WIDTH_PX, height, rows)


def draw_quantiles(series: Mapping[str, Latencies]) -> str:
    """Return one curve of latency over quantile for each label.

    >>> draw_quantiles({}).count('<polyline')
    0
    """
    top_ms = max(
        (latencies.find_quantile(1) for latencies in series.values()),
        default=1,
    )
    curves = ''.join(
        _draw_curve(latencies, top_ms, _SHADES[order % len(_SHADES)])
        for order, latencies in enumerate(series.values())
    )
    axis = _draw_text(0, _ROW_PX, f'{top_ms:.0f} ms')
    return _frame(_WIDTH_PX, _HEIGHT_PX, f'{curves}{axis}') + _list(series)


def _draw_bar(column: ChartBar, row: int) -> str:
    top = row * _ROW_PX
    length = column.share * _WIDTH_PX / 2
    return ''.join(
        (
            _draw_text(0, top + _BAR_PX, column.label),
            f'<rect x="{_LABEL_PX}" y="{top}" width="{length:.1f}" '
            f'height="{_BAR_PX}" fill="{_SHADES[0]}"/>',
            _draw_text(
                _LABEL_PX + length + _BAR_PX,
                top + _BAR_PX,
                column.shown,
            ),
        ),
    )


def _draw_curve(latencies: Latencies, top_ms: float, shade: str) -> str:
    points = ' '.join(
        _place(step, latencies, top_ms) for step in range(_QUANTILE_STEPS + 1)
    )
    return (
        f'<polyline points="{points}" fill="none" stroke="{shade}" '
        'stroke-width="2"/>'
    )


def _place(step: int, latencies: Latencies, top_ms: float) -> str:
    quantile = step / _QUANTILE_STEPS
    across = quantile * _WIDTH_PX
    height = latencies.find_quantile(quantile) / (top_ms or 1) * _HEIGHT_PX
    return f'{across:.1f},{_HEIGHT_PX - height:.1f}'


def _draw_text(across: float, down: float, text: str) -> str:
    return f'<text x="{across:.1f}" y="{down:.1f}">{escape(text)}</text>'


def _list(labels: Iterable[str]) -> str:
    entries = ''.join(
        f'<li style="color:{_SHADES[order % len(_SHADES)]}">'
        f'{escape(label)}</li>'
        for order, label in enumerate(labels)
    )
    return f'<ul>{entries}</ul>'


def _frame(width: int, height: int, content: str) -> str:
    return (
        f'<svg viewBox="0 0 {width} {height}" width="{width}" '
        f'height="{height}" role="img">{content}</svg>'
    )
