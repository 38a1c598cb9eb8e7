"""An operator's terminal whose lines become a golden file."""

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
_CHANGES = 'configuration-change'
_EPOCH_S = 1_800_000_000.0
_VOLATILE = (
    (re.compile('[0-9a-f]{64}'), '<digest>'),
    (re.compile(r'read \d+\.\d s ago'), 'read <age> ago'),
    (re.compile(r'127\.0\.0\.1:\d+'), '<address>'),
)


class SessionClock(SystemClock):
    """Monotonic time of the machine at one fixed time of day."""

    def wall(self) -> float:
        """Return the fixed time."""
        return _EPOCH_S


class ForgetfulPlatform(MemoryPlatform):
    """Loses the answer to one change, and is down from then on.

    Other writers use the store too, so its switch of lost answers would meet
    whoever writes first.
    """

    def __init__(self) -> None:
        super().__init__()
        self.forgets_change = False

    async def transact(
        self, writes: tuple[Write, ...]
    ) -> Result[None, StoreError]:
        """Do all writes; stay silent from a lost answer on."""
        tables = {write.table for write in writes}
        written = await super().transact(writes)
        if not self.forgets_change or _CHANGES not in tables:
            return written
        self.forgets_change = False
        self.switches.is_down = True
        return Err(StoreUnknownOutcomeError('answer lost'))


def create_fleet(deployment: str) -> Fleet:
    """Return a fleet that has not started."""
    fleet = Fleet(FleetSettings(EXAMPLES / deployment), SessionClock())
    fleet.platform.platform = ForgetfulPlatform()
    return fleet


def forget_change(fleet: Fleet) -> None:
    """Lose the answer to the next change."""
    platform = fleet.platform.platform
    assert isinstance(platform, ForgetfulPlatform)
    platform.forgets_change = True


class Terminal:
    """Runs commands against a fleet and keeps what they show.

    :param directory: the operator's working directory.
    """

    def __init__(self, fleet: Fleet, directory: Path) -> None:
        self.lines: list[str] = []
        self._fleet = fleet
        self._directory = directory
        self._identifiers = IdentifierGenerator(random.Random(1))
        self._key = directory / 'operator.key'

    async def run(self, line: str, answer: str = '') -> None:
        """Run a command line, with an answer if somebody is there."""
        self._key.write_text(self._fleet.operator_key, encoding='utf-8')
        output = io.StringIO()
        console = Console(
            output=output,
            progress=output,
            answers=io.StringIO(f'{answer}\n'),
            is_interactive=bool(answer),
        )
        status = await run_command(
            docopt(ctl.__doc__, self._split(line)),
            CommandEnvironment(console, self._identifiers),
        )
        self.say(f'$ crocusctl {line}\n{output.getvalue()}exit status {status}')

    async def run_all(self, *lines: str) -> None:
        """Run command lines with nobody there to answer."""
        for line in lines:
            await self.run(line)

    def say(self, text: str) -> None:
        """Keep a line of the session."""
        text = text.replace(f'{self._directory}/', '')
        for pattern, name in _VOLATILE:
            text = pattern.sub(name, text)
        self.lines.append(text)

    def _split(self, line: str) -> list[str]:
        words = line.replace('@', f'{self._directory}/')
        given = shlex.split(words)
        if '--key=' not in line:
            given.append(f'--key={self._key}')
        return [f'--api={self._fleet.apis[0].url}', *given]
