"""Common startup of the programs: arguments, settings, logs."""

import sys
from pathlib import Path
from typing import TypeVar

from docopt import docopt
from result import Err

from crocusshunt.logs import start_logging
from crocusshunt.settings import read_settings

EXIT_INVALID_SETTINGS = 2

_SettingsType = TypeVar('_SettingsType')


def start_program(
    usage: str, settings_class: type[_SettingsType]
) -> _SettingsType:
    """Read the settings file named on the command line and start logging.

    :param usage: docopt text with the option ``--settings``.
    :param settings_class: type that holds the settings.
    :raises SystemExit: the settings are invalid.
    """
    arguments = docopt(usage)
    settings = read_settings(Path(arguments['--settings']), settings_class)
    if isinstance(settings, Err):
        print(settings.err_value.describe(), file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    start_logging()
    return settings.ok_value
