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
    """One bar of a bar chart.

    :param label: text to the left of the bar.
    :param share: length of the bar, from 0 to 1.
    :param value_text: text to the right of the bar.
    """

    label: str
    share: float
    value_text: str


def draw_bars(bars: Sequence[ChartBar]) -> str:
    """Return a chart of horizontal bars as SVG.

    >>> draw_bars((ChartBar('court', 0.5, '50%'),)).count('<rect')
    1
    """
    height = _ROW_PX * len(bars)
    rows = ''.join(
        _draw_bar(chart_bar, row) for row, chart_bar in enumerate(bars)
    )
    return _render_svg(_LABEL_PX + _WIDTH_PX, height, rows)


def draw_quantiles(series: Mapping[str, Latencies]) -> str:
    """Return a plot of latency over quantile, one curve for each label.

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
    return _render_svg(
        _WIDTH_PX, _HEIGHT_PX, f'{curves}{axis}'
    ) + _render_legend(series)


def draw_timeline(series: Mapping[str, Sequence[float]]) -> str:
    """Return a plot of shares over time, one curve for each label.

    :param series: shares from 0 to 1, one for each second.

    >>> draw_timeline({'refused': [0, 0.5, 0]}).count('<polyline')
    1
    """
    curves = ''.join(
        _draw_polyline(
            [
                (step / max(1, len(shares) - 1), share)
                for step, share in enumerate(shares)
            ],
            _SHADES[order % len(_SHADES)],
        )
        for order, shares in enumerate(series.values())
    )
    axis = _draw_text(0, _ROW_PX, '100%')
    return _render_svg(
        _WIDTH_PX, _HEIGHT_PX, f'{curves}{axis}'
    ) + _render_legend(series)


def _draw_bar(chart_bar: ChartBar, row: int) -> str:
    top_px = row * _ROW_PX
    length_px = chart_bar.share * _WIDTH_PX / 2
    return ''.join(
        (
            _draw_text(0, top_px + _BAR_PX, chart_bar.label),
            f'<rect x="{_LABEL_PX}" y="{top_px}" width="{length_px:.1f}" '
            f'height="{_BAR_PX}" fill="{_SHADES[0]}"/>',
            _draw_text(
                _LABEL_PX + length_px + _BAR_PX,
                top_px + _BAR_PX,
                chart_bar.value_text,
            ),
        ),
    )


def _draw_curve(latencies: Latencies, top_ms: float, shade: str) -> str:
    quantiles = [step / _QUANTILE_STEPS for step in range(_QUANTILE_STEPS + 1)]
    return _draw_polyline(
        [
            (quantile, latencies.find_quantile(quantile) / (top_ms or 1))
            for quantile in quantiles
        ],
        shade,
    )


def _draw_polyline(points: Iterable[tuple[float, float]], shade: str) -> str:
    """Return a curve through points of a square with sides of length 1."""
    texts = (
        f'{left * _WIDTH_PX:.1f},{_HEIGHT_PX - height * _HEIGHT_PX:.1f}'
        for left, height in points
    )
    return (
        f'<polyline points="{" ".join(texts)}" fill="none" stroke="{shade}" '
        'stroke-width="2"/>'
    )


def _draw_text(x_px: float, y_px: float, text: str) -> str:
    return f'<text x="{x_px:.1f}" y="{y_px:.1f}">{escape(text)}</text>'


def _render_legend(labels: Iterable[str]) -> str:
    entries = ''.join(
        f'<li style="color:{_SHADES[order % len(_SHADES)]}">'
        f'{escape(label)}</li>'
        for order, label in enumerate(labels)
    )
    return f'<ul>{entries}</ul>'


def _render_svg(width: int, height: int, content: str) -> str:
    return (
        f'<svg viewBox="0 0 {width} {height}" width="{width}" '
        f'height="{height}" role="img">{content}</svg>'
    )
