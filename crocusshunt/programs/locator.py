"""Tells callers which entry hosts to send their requests to.

Usage:
  crocus-locator --settings=FILE
  crocus-locator --help

Options:
  --settings=FILE  INI file, see docs/operators/settings.md.
  --help           Show this text.
"""

from crocusshunt.core import SystemClock
from crocusshunt.locator import LocatorService, LocatorSettings
from crocusshunt.programs._startup import start_program
from crocusshunt.web import run_services


def main() -> None:
    """Run the service until SIGTERM or SIGINT."""
    settings = start_program(__doc__ or '', LocatorSettings)
    run_services(LocatorService(settings, SystemClock()))
