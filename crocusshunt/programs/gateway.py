"""Passes callers' requests to backend servers.

Usage:
  crocus-gateway --settings=FILE
  crocus-gateway --help

Options:
  --settings=FILE  INI file, see docs/operators/settings.md.
  --help           Show this text.
"""

import random

from crocusshunt.core import SystemClock
from crocusshunt.gateway import GatewayService, GatewaySettings
from crocusshunt.programs._start import start_program
from crocusshunt.web import (
    run_services,
)


def main() -> None:
    """Run until SIGTERM."""
    settings = start_program(__doc__ or '', GatewaySettings)
    run_services(
        GatewayService(settings, SystemClock(), random.SystemRandom()),
    )
