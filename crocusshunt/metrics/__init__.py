"""Metrics of ended requests, as log records and as Prometheus text."""

from crocusshunt.metrics._exposition import render_metrics
from crocusshunt.metrics._labels import OTHER_LABEL, Labels
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
    PoolUsage,
    RequestMetrics,
)

__all__ = (
    'OTHER_LABEL',
    'EndedRequest',
    'Labels',
    'Latencies',
    'MetricsSettings',
    'OutcomeKind',
    'PoolUsage',
    'Recorder',
    'RequestMetrics',
    'log_request',
    'parse_request',
    'render_metrics',
)
