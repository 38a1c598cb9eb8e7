"""Log and exit status of a process that ends."""

import logging
import traceback
from collections.abc import Callable
from typing import ClassVar

from crocusshunt.core import CrocusError
from crocusshunt.logs import log_event

_STATUS_OK = 0
_STATUS_FAILED = 1


class FatalError(CrocusError):
    """An error that a process cannot go on with.

    ``exit_status`` tells the kinds of them apart for whoever started it.
    """

    code: ClassVar[str] = 'process-failed'
    exit_status: ClassVar[int] = _STATUS_FAILED


def run_to_end(run: Callable[[], None]) -> int:
    """Run a process's work, log why it ended, and return its exit status.

    :param run: returns when the process was asked to end.
    """
    try:
        run()
    except Exception as error:
        return _log_failure(error)
    log_event('process ended', status=_STATUS_OK, cause='asked to')
    return _STATUS_OK


def _log_failure(error: Exception) -> int:
    status = (
        error.exit_status if isinstance(error, FatalError) else _STATUS_FAILED
    )
    log_event(
        'process ended',
        logging.ERROR,
        status=status,
        cause=repr(error),
        trace=''.join(traceback.format_exception(error)),
    )
    return status
