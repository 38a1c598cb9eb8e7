"""Serves callers on one host of the users' platform.

Usage:
  crocus-host
  crocus-host --help

The environment variable CROCUSSHUNT_CONFIG names the settings file that the
platform writes.

Options:
  --help  Show this text.
"""

# Before all other modules, whose import takes a while.
from crocusshunt.programs import _hangups  # noqa: F401

import logging
import os
import sys
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import ClassVar

from docopt import docopt
from result import Err

from crocusshunt.core import SystemClock
from crocusshunt.front import FrontService, FrontSettings
from crocusshunt.logs import LineSink, log_event, start_logging
from crocusshunt.platform import (
    SETTINGS_VARIABLE,
    SOURCE_FORMAT,
    RowStoreClient,
    read_front_settings,
)
from crocusshunt.services import FatalError, run_to_end
from crocusshunt.web import run_services

_PAUSE_S = 0.2
# The file may just be written when the process starts.
_SETTINGS_WAIT_S = 5


@dataclass(unsafe_hash=True)
class SettingsUnreadableError(FatalError):
    """The settings file could not be read for some time."""

    code: ClassVar[str] = 'settings-unreadable'
    exit_status: ClassVar[int] = 2

    detail: str


def main() -> None:
    """Run the service until SIGTERM or SIGINT; SIGHUP reloads the settings."""
    docopt(__doc__ or '')
    start_logging(stream=LineSink(_find_output()))
    path = Path(os.environ.get(SETTINGS_VARIABLE, ''))
    sys.exit(run_to_end(partial(_run, path)))


def _find_output() -> int:
    """Return the descriptor that logs go to.

    If the standard output is closed they go nowhere. Something else that is
    opened later could have its descriptor.
    """
    if sys.stdout is None:
        return os.open(os.devnull, os.O_WRONLY)
    return sys.stdout.fileno()


def _run(path: Path) -> None:
    settings = _wait_for_settings(path)
    service = FrontService(
        settings,
        SOURCE_FORMAT,
        RowStoreClient(settings.store_address),
        partial(read_front_settings, path),
        SystemClock(),
    )
    run_services(service, reload=service.reload)


def _wait_for_settings(path: Path) -> FrontSettings:
    """Return the settings once they can be read.

    :raises SettingsUnreadableError: if they can't be for some seconds.
    """
    until = time.monotonic() + _SETTINGS_WAIT_S
    found = read_front_settings(path)
    while isinstance(found, Err):
        problem = found.err_value.describe()
        if time.monotonic() >= until:
            raise SettingsUnreadableError(problem)
        log_event('settings not readable', logging.WARNING, cause=problem)
        time.sleep(_PAUSE_S)
        found = read_front_settings(path)
    return found.ok_value


if __name__ == '__main__':
    main()
