"""Gives the processes of one host their configuration.

Usage:
  crocus-controller --settings=FILE
  crocus-controller --help

Options:
  --settings=FILE  INI file, see docs/operators/settings.md.
  --help           Show this text.
"""

from crocusshunt.controller import ControllerService, ControllerSettings
from crocusshunt.core import SystemClock
from crocusshunt.programs._startup import start_program
from crocusshunt.services import run_until_signal


def main() -> None:
    """Run the service until SIGTERM or SIGINT."""
    settings = start_program(__doc__ or '', ControllerSettings)
    service = ControllerService(settings, SystemClock())
    run_until_signal(service.serve)
