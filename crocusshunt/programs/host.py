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

import os
import sys
from functools import partial
from pathlib import Path

from docopt import docopt
from result import Err

from crocusshunt.core import SystemClock
from crocusshunt.front import FrontService
from crocusshunt.logs import LineSink, start_logging
from crocusshunt.platform import (
    SETTINGS_VARIABLE,
    SOURCE_FORMAT,
    RowStoreClient,
    read_front_settings,
)
from crocusshunt.services import run_to_end
from crocusshunt.web import run_services

_EXIT_INVALID_SETTINGS = 2


def main() -> None:
    """Run the service until SIGTERM or SIGINT; SIGHUP reloads the settings."""
    docopt(__doc__ or '')
    start_logging(stream=LineSink(sys.stdout.fileno()))
    path = Path(os.environ.get(SETTINGS_VARIABLE, ''))
    settings = read_front_settings(path)
    if isinstance(settings, Err):
        print(settings.err_value.describe(), file=sys.stderr)
        sys.exit(_EXIT_INVALID_SETTINGS)
    front_settings = settings.ok_value
    store = RowStoreClient(front_settings.store_address)
    service = FrontService(
        front_settings,
        SOURCE_FORMAT,
        store,
        partial(read_front_settings, path),
        SystemClock(),
    )
    run = partial(run_services, service, reload=service.reload)
    sys.exit(run_to_end(run))


if __name__ == '__main__':
    main()
