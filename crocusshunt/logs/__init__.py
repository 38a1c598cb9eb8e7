"""Structured logs: one JSON object a line, through absl."""

from crocusshunt.logs._journal import LogStream, log_event, start_logging
from crocusshunt.logs._sink import LineSink

__all__ = ('LineSink', 'LogStream', 'log_event', 'start_logging')
