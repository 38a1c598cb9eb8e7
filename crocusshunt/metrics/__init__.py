"""What became of requests, as latencies, counters and Prometheus text."""

from crocusshunt.metrics._exposition import render_metrics
from crocusshunt.metrics._labels import OTHER, Labels
from crocusshunt.metrics._records import (
    EndedRequest,
    OutcomeKind,
    Recorder,
    log_request,
    parse_request,
)
from crocusshunt.metrics._requests import (
    Latencies,
    MetricsSettings,
    PoolRoom,
    RequestMetrics,
)

__all__ = (
    'OTHER',
    'EndedRequest',
    'Labels',
    'Latencies',
    'MetricsSettings',
    'OutcomeKind',
    'PoolRoom',
    'Recorder',
    'RequestMetrics',
    'log_request',
    'parse_request',
    'render_metrics',
)
