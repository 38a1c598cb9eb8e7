"""Runs a demonstration session on loopback, all services in one process.

Usage:
  crocus-demo [--serve] [--deployment=NAME] [--examples=DIR]
  crocus-demo --help

Options:
  --serve            Keep the fleet running until SIGTERM; the first line of
                     output, printed once the fleet is ready, describes it
                     as a JSON object.
  --deployment=NAME  abay or trosarina [default: abay].
  --examples=DIR     Directory with the tables of the deployments.
  --help             Show this text.

Exit status: 0 every step passed, 1 a step failed, 2 wrong input.
"""

import asyncio
import logging
import sys
from pathlib import Path
from typing import Any

import msgspec
from aiomisc import Service
from docopt import docopt

from crocusshunt.demo import (
    Fleet,
    FleetSettings,
    describe_fleet,
    run_session,
    wait_until_ready,
)
from crocusshunt.logs import start_logging
from crocusshunt.services import create_loop
from crocusshunt.settings import SettingsError
from crocusshunt.web import run_services

_EXAMPLES_DIRECTORY = Path(__file__).parents[2] / 'examples'


class _FleetService(Service):
    def __init__(self, fleet: Fleet) -> None:
        super().__init__()
        self._fleet = fleet

    async def start(self) -> None:
        """Start the fleet, wait until it is ready, print its description."""
        await self._fleet.start()
        document = describe_fleet(self._fleet)
        await wait_until_ready(document)
        print(msgspec.json.encode(document).decode(), flush=True)

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stop the fleet."""
        await self._fleet.stop()


def main() -> None:
    """Run the session, or keep the fleet running until SIGTERM."""
    arguments = docopt(__doc__ or '')
    start_logging(logging.WARNING)
    examples = Path(arguments['--examples'] or _EXAMPLES_DIRECTORY)
    settings = FleetSettings(examples / arguments['--deployment'])
    try:
        _run(Fleet(settings), is_serving=arguments['--serve'])
    except SettingsError as error:
        print(error.describe(), file=sys.stderr)
        sys.exit(2)


def _run(fleet: Fleet, *, is_serving: bool) -> None:
    if is_serving:
        run_services(_FleetService(fleet))
        return
    with asyncio.Runner(loop_factory=create_loop) as runner:
        sys.exit(runner.run(_run_steps(fleet)))


async def _run_steps(fleet: Fleet) -> int:
    failed = 0
    try:
        await fleet.start()
        async for step in run_session(fleet):
            print(step.describe())
            failed += not step.passed
    finally:
        await fleet.stop()
    return int(failed > 0)
