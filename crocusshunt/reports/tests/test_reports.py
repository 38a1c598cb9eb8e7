"""Tests of explanations, summaries and pages."""

import random
from dataclasses import replace
from xml.etree import ElementTree

import msgspec
import pytest

from crocusshunt.metrics import EndedRequest, OutcomeKind
from crocusshunt.reports import (
    explain_request,
    read_requests,
    render_page,
    summarize,
)
from crocusshunt.routing import Customer

_ANSWERED = EndedRequest(
    'req-0',
    0,
    20,
    'addis',
    'addis-a-1',
    OutcomeKind.answered,
    200,
    'verify',
    'court',
    'verify',
    'verify-01',
    1,
)
_REFUSED = replace(
    _ANSWERED,
    request_id='req-1',
    outcome=OutcomeKind.not_run,
    status=429,
    code='rate-exceeded',
    server='',
)


def _format_line(ended: EndedRequest) -> str:
    fields = msgspec.to_builtins(ended)
    event = {'event': 'request ended', 'arrived': ended.time}
    return msgspec.json.encode({**fields, 'time': 99, **event}).decode()


@pytest.mark.parametrize(
    ('code', 'outcome', 'expected_text'),
    [
        ('rate-exceeded', OutcomeKind.not_run, 'over its rate and burst'),
        ('key-withdrawn', OutcomeKind.not_run, 'no backend server ran it'),
        ('deadline-exceeded', OutcomeKind.unknown, 'may have run it'),
        ('never-seen', OutcomeKind.unknown, 'alarms.md'),
    ],
)
def test_explanation_tells_reason_and_run(
    code: str, outcome: OutcomeKind, expected_text: str
) -> None:
    ended = replace(_ANSWERED, code=code, outcome=outcome)
    lines = ['no json', _format_line(_REFUSED), _format_line(ended)]
    explanation = explain_request('req-0', lines).unwrap()
    assert expected_text in '\n'.join(explanation.describe())
    assert 'server verify-01, attempt 1' in explanation.describe()[2]


def test_refusals_within_rate_are_those_that_one_bucket_admits() -> None:
    customer = Customer('court', rate=1, burst=2)
    times = (0, 0, 0, 1, 1)
    requests = [replace(_REFUSED, time=time) for time in times]
    summary = summarize(requests, {'court': customer})
    assert summary.customers[0].wrongful == 3
    answered = [replace(_ANSWERED, time=time) for time in times]
    kept = summarize(answered, {'court': customer})
    assert kept.customers[0].wrongful == 0
    assert summarize(requests, {}).customers[0].wrongful is None


def test_worst_served_customer() -> None:
    other = replace(_ANSWERED, customer='bar')
    lines = [_format_line(each) for each in (_ANSWERED, _REFUSED, other)]
    worst = summarize(read_requests(lines), {}).worst_served
    assert worst is not None
    assert (worst.name, worst.answered_share) == ('court', 0.5)


def test_page_is_well_formed_and_escapes() -> None:
    rng = random.Random(3)
    requests = [
        replace(_ANSWERED, customer='<bar>', duration_ms=rng.expovariate(1))
        for _ in range(50)
    ]
    page = render_page('run & plots', summarize(requests, {}))
    body = page.partition('<body>')[2].partition('</body>')[0]
    parsed = ElementTree.fromstring(f'<body>{body}</body>')
    assert len(parsed.findall('svg')) == 3
    assert '<bar>' not in page
