"""Serves the operators' interface and publishes configuration changes.

Usage:
  crocus-api --settings=FILE
  crocus-api --help

Options:
  --settings=FILE  INI file, see docs/operators/settings.md.
  --help           Show this text.
"""

from crocusshunt.api import ApiService, ApiSettings
from crocusshunt.core import SystemClock
from crocusshunt.programs._startup import start_program
from crocusshunt.web import run_services


def main() -> None:
    """Run the service until SIGTERM or SIGINT."""
    settings = start_program(__doc__ or '', ApiSettings)
    run_services(ApiService(settings, SystemClock()))
