"""Structured logs: one JSON object a line, through absl."""

from crocusshunt.logs._journal import log_event, start_logging

__all__ = ('log_event', 'start_logging')
