"""Where requests were lost, from the log lines of hosts alone."""

import io
from collections.abc import Iterator

import pytest

from crocusshunt.front.tests._deployment import crowd_one_object, deploy
from crocusshunt.logs import start_logging
from crocusshunt.reports import (
    LossPlace,
    describe_losses,
    find_losses,
    render_page,
    summarize,
)


def _format_line(second: int, **fields: str) -> str:
    texts = {
        'event': '"request ended"',
        'arrived': f'{second}.5',
        'duration_ms': '20',
        'status': '200',
        'region': '"a"',
        'route': '"r"',
        'objective_s': '0.2',
        **fields,
    }
    pairs = [f'"{name}":{text}' for name, text in texts.items()]
    return f'{{{",".join(pairs)}}}'


def _build_lines() -> list[str]:
    own = '[{"region":"a","sent_s":0.01,"is_preferred":true}]'
    other = '[{"region":"b","sent_s":0.03,"is_preferred":false}]'
    free = '[{"rule":""},{"rule":"region-change-bound"}]'
    refused = {'status': '503', 'code': '"no-room"'}
    return [
        _format_line(1, sendings=own),
        _format_line(1, sendings=other, duration_ms='300'),
        _format_line(2, considered=free, **refused),
        _format_line(2, **refused),
        _format_line(2, status='404', code='"no-route"'),
        'not a line of a request',
        '{"event":"request ended"}',
    ]


def test_refused_and_late_requests_by_cause_place_and_moment() -> None:
    losses = find_losses(_build_lines())
    assert losses.refused == {LossPlace('no-room', 'r', 'a'): 2}
    assert losses.rules == {'region-change-bound': 1}
    late = LossPlace('another server, other region', 'r', 'a')
    assert losses.late == {late: 1}
    assert losses.timeline == {
        'refused': [0, pytest.approx(2 / 3)],
        'refused beside a free slot': [0, pytest.approx(1 / 3)],
        'late': [0.5, 0],
    }
    assert losses.server_times['preferred server, own region'].count == 1
    assert losses.first_waits['r'].count == 2


def test_losses_are_on_the_page_and_in_the_text() -> None:
    losses = find_losses(_build_lines())
    page = render_page('run', summarize((), {}), losses)
    assert 'region-change-bound' in page
    assert page.count('<polyline') >= 3
    text = '\n'.join(describe_losses(losses))
    assert '2 no-room, route r, in a' in text
    assert '1 region-change-bound' in text
    assert '1 another server, other region, route r, in a' in text


@pytest.fixture(name='log')
def _log() -> Iterator[io.StringIO]:
    stream = io.StringIO()
    start_logging(stream=stream)
    yield stream


async def test_lines_of_a_host_tell_its_losses(log: io.StringIO) -> None:
    async with deploy('s1', 's2') as deployment:
        await crowd_one_object(deployment)
    losses = find_losses(log.getvalue().splitlines())
    assert sum(losses.refused.values()) == 3
    assert losses.rules == {'object-not-held': 3}
    assert sum(losses.late.values()) == 5
