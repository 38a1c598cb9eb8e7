"""Tests of the metrics of ended requests."""

import logging
from dataclasses import replace

import pytest
from prometheus_client.parser import text_string_to_metric_families

from crocusshunt.logs import start_logging
from crocusshunt.metrics import (
    EndedRequest,
    MetricsSettings,
    OutcomeKind,
    PoolUsage,
    RequestMetrics,
    log_request,
    parse_request,
    render_metrics,
)

_ANSWERED = EndedRequest(
    'req-1',
    1.5,
    20,
    'addis',
    'addis-a-1',
    OutcomeKind.answered,
    200,
    'verify',
    'court',
)
_REFUSED = replace(
    _ANSWERED,
    customer='bar',
    outcome=OutcomeKind.not_run,
    status=429,
    code='rate-exceeded',
)


def _read_samples(metrics: RequestMetrics) -> dict[frozenset[str], float]:
    text = render_metrics(metrics).decode()
    return {
        frozenset((sample.name, *sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


_EXPECTED_SAMPLES = (
    (('request_duration_milliseconds', 'region', 'addis', '0.9'), 90),
    (('requests_refused_total', 'bar', 'rate-exceeded'), 1),
    (('worst_served_answered_ratio', 'bar'), 0),
    (('pool_headroom_ratio', 'verify', 'addis'), 0.25),
    (('requests_total', 'customer', 'court', 'answered'), 100),
)


def test_prometheus_text_holds_all_metrics() -> None:
    metrics = RequestMetrics(MetricsSettings())
    for duration_ms in range(1, 101):
        metrics.record(replace(_ANSWERED, duration_ms=duration_ms))
    metrics.record(_REFUSED)
    metrics.record_pool_usage(PoolUsage('verify', 'addis', 8, 6))
    samples = _read_samples(metrics)
    for (name, *labels), expected in _EXPECTED_SAMPLES:
        found = samples[frozenset((f'crocus_{name}', *labels))]
        assert found == pytest.approx(expected, rel=0.02)


def test_number_of_labels_is_bounded() -> None:
    metrics = RequestMetrics(MetricsSettings(max_customers=3))
    for number in range(50):
        metrics.record(replace(_ANSWERED, customer=f'c{number}'))
    customers = {
        label
        for dimension, label, _outcome in metrics.outcomes
        if dimension == 'customer'
    }
    assert customers == {'c0', 'c1', 'c2', 'other'}


@pytest.mark.parametrize(
    ('outcome', 'status', 'is_refused'),
    [
        (OutcomeKind.answered, 200, False),
        (OutcomeKind.not_run, 401, False),
        (OutcomeKind.not_run, 429, True),
        (OutcomeKind.not_run, 503, True),
        (OutcomeKind.unknown, 502, False),
    ],
)
def test_errors_of_the_caller_are_no_refusals(
    outcome: OutcomeKind,
    status: int,
    is_refused: bool,
) -> None:
    ended = replace(_ANSWERED, outcome=outcome, status=status)
    assert ended.is_refused is is_refused


def test_record_is_parsed_from_its_log_line(
    capsys: pytest.CaptureFixture[str],
) -> None:
    start_logging(logging.INFO)
    log_request(_REFUSED)
    line = capsys.readouterr().err
    assert parse_request(line) == _REFUSED
    assert parse_request('{"event":"request ended"}') is None
