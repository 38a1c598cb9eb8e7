"""JSON lines through the absl handler."""

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
    """Where lines go."""

    def write(self, text: str, /) -> int:
        """Take a line."""

    def flush(self) -> None:
        """Hand over what was taken."""


def start_logging(
    verbosity: int = standard_logging.INFO,
    stream: LogStream | None = None,
) -> None:
    """Send the logs of this process to a stream as JSON lines.

    :param verbosity: least level shown, of the standard library's logging.
    :param stream: standard error without one.
    """
    if not flags.FLAGS.is_parsed():
        # Otherwise absl writes a warning, which is no JSON, before the first
        # entry; the programs' options are docopt's.
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
    """Write one log entry.

    Keys of callers never belong into fields.

    :param event: what happened, in technical English.
    :param level: a level of the standard library's logging.
    :param fields: named values of the event.
    """
    logging.get_absl_logger().log(level, event, extra={_FIELDS: fields})
