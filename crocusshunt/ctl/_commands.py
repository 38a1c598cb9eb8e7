"""Registry and execution of commands."""

import sys
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace
from enum import IntEnum
from pathlib import Path
from typing import Any

from crocusshunt.client import OperatorClient
from crocusshunt.core import Clock, IdentifierGenerator, SystemClock
from crocusshunt.ctl._console import Console

Arguments = Mapping[str, Any]


class ExitStatus(IntEnum):
    """Exit statuses of the program, as its help text lists them.

    ``unknown`` means that the outcome of a change is unknown.
    """

    done = 0
    refused = 1
    wrong_input = 2
    unknown = 3
    unconfirmed = 4


@dataclass(frozen=True, slots=True)
class CommandEnvironment:
    """The terminal, identifiers and clock that commands use.

    :param identifiers: generator of change ids.
    """

    console: Console
    identifiers: IdentifierGenerator = field(
        default_factory=IdentifierGenerator
    )
    clock: Clock = field(default_factory=SystemClock)


@dataclass(frozen=True, slots=True)
class Context:
    """Arguments, API client and environment of a running command."""

    arguments: Arguments
    client: OperatorClient
    environment: CommandEnvironment

    @property
    def console(self) -> Console:
        """Return the operator's terminal."""
        return self.environment.console


Command = Callable[[Context], Awaitable[ExitStatus]]
_COMMANDS: dict[tuple[str, ...], Command] = {}


def register_command(*words: str) -> Callable[[Command], Command]:
    """Return a decorator that registers a command.

    :param words: command words on the command line, such as ``key grant``.
    """

    def register(function: Command) -> Command:
        _COMMANDS[words] = function
        return function

    return register


async def run_command(
    arguments: Arguments,
    environment: CommandEnvironment | None = None,
) -> int:
    """Run the command that the parsed command line names.

    :param arguments: command line as parsed by docopt.
    :param environment: if None, the process's standard streams are used.
    :return: exit status of the process.
    """
    client = OperatorClient(arguments['--api'], _read_key(arguments['--key']))
    given = environment or _create_environment()
    console = replace(given.console, is_json=bool(arguments['--json']))
    context = Context(arguments, client, replace(given, console=console))
    try:
        return await _find_command(arguments)(context)
    finally:
        await client.close()


def _create_environment() -> CommandEnvironment:
    is_interactive = sys.stdin.isatty() and sys.stderr.isatty()
    return CommandEnvironment(Console(is_interactive=is_interactive))


def _find_command(arguments: Arguments) -> Command:
    matching = [
        words
        for words in _COMMANDS
        if all(arguments.get(word) for word in words)
    ]
    return _COMMANDS[max(matching, key=len)]


def _read_key(path: str) -> str:
    try:
        return Path(path).read_text(encoding='utf-8').strip()
    except OSError:
        return ''
