"""Tables and plots of where requests were lost, as HTML and text."""

from collections import Counter
from operator import itemgetter
from typing import TypeVar

from crocusshunt.reports._losses import Losses, LossPlace
from crocusshunt.reports._plots import draw_timeline
from crocusshunt.reports._tables import render_latencies, render_table

_MAX_ROWS_COUNT = 20
_PLACE_TITLES = ('cause', 'route', 'region', 'requests')

Label = TypeVar('Label', str, LossPlace)


def render_losses(losses: Losses) -> str:
    """Return the part of a report about refused and late requests.

    >>> 'Refused' in render_losses(Losses())
    True
    """
    return ''.join(
        (
            '<h2>Refused and late, by second of arrival</h2>',
            draw_timeline(losses.timeline),
            '<h2>Refused, by cause</h2>',
            _render_places(losses.refused),
            '<h2>Refused beside a free slot, by rule</h2>',
            render_table(
                ('rule', 'requests'),
                [(rule, str(count)) for rule, count in _sort(losses.rules)],
            ),
            '<h2>Late, by where they were served</h2>',
            _render_places(losses.late),
            render_latencies('server and region', losses.server_times),
            render_latencies('route, before sending', losses.first_waits),
        ),
    )


def describe_losses(losses: Losses) -> tuple[str, ...]:
    """Return the largest losses as lines of text.

    >>> describe_losses(Losses())
    ()
    """
    lines = [
        f'refused {count:6} {_describe_place(place)}'
        for place, count in _sort(losses.refused)
    ]
    lines.extend(
        f'refused beside a free slot {count:6} {rule}'
        for rule, count in _sort(losses.rules)
    )
    lines.extend(
        f'late    {count:6} {_describe_place(place)}'
        for place, count in _sort(losses.late)
    )
    return tuple(lines)


def _describe_place(place: LossPlace) -> str:
    route = place.route or 'none'
    return f'{place.cause}, route {route}, in {place.region}'


def _render_places(places: Counter[LossPlace]) -> str:
    rows = [
        (place.cause, place.route, place.region, str(count))
        for place, count in _sort(places)
    ]
    return render_table(_PLACE_TITLES, rows)


def _sort(counts: Counter[Label]) -> list[tuple[Label, int]]:
    by_label = sorted(counts.items())
    by_count = sorted(by_label, key=itemgetter(1), reverse=True)
    return by_count[:_MAX_ROWS_COUNT]
