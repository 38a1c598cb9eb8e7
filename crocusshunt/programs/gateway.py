"""Forwards callers' requests to backend servers.

Usage:
  crocus-gateway --settings=FILE
  crocus-gateway --help

Options:
  --settings=FILE  INI file, see docs/operators/settings.md.
  --help           Show this text.
"""

import random

from crocusshunt.core import SystemClock
from crocusshunt.gateway import GatewayService, GatewaySettings, MetricsService
from crocusshunt.programs._startup import start_program
from crocusshunt.web import run_services


def main() -> None:
    """Run the service until SIGTERM or SIGINT."""
    settings = start_program(__doc__ or '', GatewaySettings)
    gateway = GatewayService(settings, SystemClock(), random.SystemRandom())
    port = settings.gateway.metrics_port
    if port:
        run_services(gateway, MetricsService(port, gateway.metrics))
    else:
        run_services(gateway)
