"""Records an operator's commands and their output, for golden files."""

import io
import random
import re
import shlex
from pathlib import Path

from docopt import docopt
from result import Err, Result

from crocusshunt.core import IdentifierGenerator, SystemClock
from crocusshunt.ctl import CommandEnvironment, Console, run_command
from crocusshunt.demo import Fleet, FleetSettings
from crocusshunt.programs import ctl
from crocusshunt.standin import MemoryPlatform
from crocusshunt.store import StoreError, StoreUnknownOutcomeError, Write

EXAMPLES = Path(__file__).parents[3] / 'examples'
_CHANGE_TABLE = 'configuration-change'
_WALL_TIME_S = 1_800_000_000.0
_MASKS = (
    (re.compile('[0-9a-f]{64}'), '<digest>'),
    (re.compile(r'read \d+\.\d s ago'), 'read <age> ago'),
    (re.compile(r'127\.0\.0\.1:\d+'), '<address>'),
)


class SessionClock(SystemClock):
    """System clock whose wall time is fixed."""

    def wall(self) -> float:
        """Return the fixed time."""
        return _WALL_TIME_S


class ResponseLosingPlatform(MemoryPlatform):
    """Platform that loses the response to one change, then is unavailable.

    ``PlatformSwitches.lost_answers`` is not used here: other writers use the
    store too, and it would affect whichever of them writes first.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loses_change_response = False

    async def transact(
        self, writes: tuple[Write, ...]
    ) -> Result[None, StoreError]:
        """Write all rows; if set, lose the response to a change and go down."""
        tables = {write.table for write in writes}
        written = await super().transact(writes)
        if not self.loses_change_response or _CHANGE_TABLE not in tables:
            return written
        self.loses_change_response = False
        self.switches.is_down = True
        return Err(StoreUnknownOutcomeError('answer lost'))


def create_fleet(deployment: str) -> Fleet:
    """Return a fleet that is not started yet."""
    fleet = Fleet(FleetSettings(EXAMPLES / deployment), SessionClock())
    fleet.platform.platform = ResponseLosingPlatform()
    return fleet


def lose_change_response(fleet: Fleet) -> None:
    """Make the store lose the response to the next change."""
    platform = fleet.platform.platform
    assert isinstance(platform, ResponseLosingPlatform)
    platform.loses_change_response = True


class Terminal:
    """Runs crocusctl commands against a fleet and records their output.

    :param fleet: a started fleet.
    :param directory: the operator's working directory.
    """

    def __init__(self, fleet: Fleet, directory: Path) -> None:
        self.lines: list[str] = []
        self._fleet = fleet
        self._directory = directory
        self._identifiers = IdentifierGenerator(random.Random(1))
        self._key = directory / 'operator.key'

    async def run(self, line: str, answer: str = '') -> None:
        """Run a command and record it with its output and exit status.

        :param line: arguments; ``@`` stands for the working directory.
        :param answer: reply to the confirmation prompt; if empty, the terminal
            is not interactive.
        """
        self._key.write_text(self._fleet.operator_key, encoding='utf-8')
        output = io.StringIO()
        console = Console(
            output=output,
            progress=output,
            answers=io.StringIO(f'{answer}\n'),
            is_interactive=bool(answer),
        )
        status = await run_command(
            docopt(ctl.__doc__, self._parse(line)),
            CommandEnvironment(console, self._identifiers),
        )
        self.record(
            f'$ crocusctl {line}\n{output.getvalue()}exit status {status}'
        )

    async def run_all(self, *lines: str) -> None:
        """Run commands without an interactive terminal."""
        for line in lines:
            await self.run(line)

    def record(self, text: str) -> None:
        """Record text, with values that vary between runs masked."""
        text = text.replace(f'{self._directory}/', '')
        for pattern, name in _MASKS:
            text = pattern.sub(name, text)
        self.lines.append(text)

    def _parse(self, line: str) -> list[str]:
        words = line.replace('@', f'{self._directory}/')
        arguments = shlex.split(words)
        if '--key=' not in line:
            arguments.append(f'--key={self._key}')
        return [f'--api={self._fleet.apis[0].url}', *arguments]
