"""Log entries as JSON lines, written by the handler of absl."""

import logging as standard_logging
import sys
from typing import Protocol

import msgspec
from absl import flags, logging

_FIELDS = 'crocus_fields'


class _JsonFormatter(standard_logging.Formatter):
    def format(self, record: standard_logging.LogRecord) -> str:
        """Return one line of JSON."""
        entry: dict[str, object] = {
            'time': record.created,
            'level': record.levelname.lower(),
            'event': record.getMessage(),
        }
        entry.update(getattr(record, _FIELDS, {}))
        if record.exc_info:
            entry['trace'] = self.formatException(record.exc_info)
        return msgspec.json.encode(entry, enc_hook=str).decode()


class LogStream(Protocol):
    """Text stream that log lines are written to."""

    def write(self, text: str, /) -> int:
        """Write a line."""

    def flush(self) -> None:
        """Write out what is buffered."""


def start_logging(
    verbosity: int = standard_logging.INFO,
    stream: LogStream | None = None,
) -> None:
    """Send the logs of this process to a stream as JSON lines.

    :param verbosity: lowest level that is written, as a level of the standard
        library's logging.
    :param stream: where to write; standard error if None.
    """
    if not flags.FLAGS.is_parsed():
        # Otherwise absl writes a warning, which is no JSON, before the first
        # entry. The programs parse their options with docopt, not with absl.
        flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(_JsonFormatter())
    handler.python_handler.stream = stream or sys.stderr
    logging.use_absl_handler()
    logging.get_absl_logger().setLevel(verbosity)


def log_event(
    event: str,
    level: int = standard_logging.INFO,
    **fields: object,
) -> None:
    """Write a log entry.

    Fields must never hold API keys of callers.

    :param event: what happened, in technical English.
    :param level: a level of the standard library's logging.
    :param fields: named values of the event.
    """
    logging.get_absl_logger().log(level, event, extra={_FIELDS: fields})
