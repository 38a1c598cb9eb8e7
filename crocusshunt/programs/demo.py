"""Runs one whole session on loopback, all roles in one process.

Usage:
  crocus-demo [--serve] [--deployment=NAME] [--examples=DIR]
  crocus-demo --help

Options:
  --serve            Keep the fleet up until SIGTERM; the first line of
                     output describes it as a JSON object, once it serves.
  --deployment=NAME  abay or trosarina [default: abay].
  --examples=DIR     Directory of the deployments' declarations.
  --help             Show this text.

Exit status: 0 every step passed, 1 one did not, 2 wrong input.
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
    await_service,
    describe_fleet,
    run_session,
)
from crocusshunt.logs import start_logging
from crocusshunt.services import create_loop
from crocusshunt.settings import SettingsError
from crocusshunt.web import run_services

_EXAMPLES = Path(__file__).parents[2] / 'examples'


class _FleetService(Service):
    def __init__(self, fleet: Fleet) -> None:
        super().__init__()
        self._fleet = fleet

    async def start(self) -> None:
        """Bring the fleet up and describe it."""
        await self._fleet.start()
        document = describe_fleet(self._fleet)
        await await_service(document)
        print(msgspec.json.encode(document).decode(), flush=True)

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stop the fleet."""
        await self._fleet.stop()


def main() -> None:
    """Run the session, or serve until SIGTERM."""
    arguments = docopt(__doc__ or '')
    start_logging(logging.WARNING)
    examples = Path(arguments['--examples'] or _EXAMPLES)
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
        sys.exit(runner.run(_register_step(fleet)))


async def _register_step(fleet: Fleet) -> int:
    failed = 0
    try:
        await fleet.start()
        async for step in run_session(fleet):
            print(step.describe())
            failed += not step.passed
    finally:
        await fleet.stop()
    return int(failed > 0)
