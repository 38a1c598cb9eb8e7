"""Structured logs: one JSON object per line, written through absl."""

from crocusshunt.logs._json_lines import LogStream, log_event, start_logging
from crocusshunt.logs._sink import LineSink

__all__ = ('LineSink', 'LogStream', 'log_event', 'start_logging')
