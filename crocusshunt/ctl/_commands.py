"""Registry of commands and their exit statuses."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Any

from crocusshunt.client import ApiError, OperatorClient, UnreachableApiError
from crocusshunt.client import RefusedCallError

Arguments = Mapping[str, Any]


class ExitStatus(IntEnum):
    """Exit statuses, as written in the program's help."""

    done = 0
    refused = 1
    wrong_input = 2
    unknown = 3


@dataclass(frozen=True, slots=True)
class Context:
    """What a command works with."""

    arguments: Arguments
    client: OperatorClient


Command = Callable[[Context], Awaitable[ExitStatus]]
_COMMANDS: dict[tuple[str, ...], Command] = {}


def register_command(*words: str) -> Callable[[Command], Command]:
    """Return a decorator that registers a command by its words."""

    def register(function: Command) -> Command:
        _COMMANDS[words] = function
        return function

    return register


async def run_command(arguments: Arguments) -> int:
    """Run the command that the parsed command line names.

    :param arguments: result of docopt.
    """
    client = OperatorClient(arguments['--api'], _read_key(arguments['--key']))
    context = Context(arguments, client)
    try:
        return await _find_command(arguments)(context)
    finally:
        await client.close()


def report_failure(error: ApiError) -> ExitStatus:
    """Print what failed and what to do next; return the exit status."""
    print(error.describe())
    if isinstance(error, UnreachableApiError):
        print('next: check --api, then repeat with the same change id')
        return ExitStatus.unknown
    if isinstance(error, RefusedCallError):
        if error.document.code in {'unknown-outcome', 'store-unreachable'}:
            print('next: repeat with the same change id')
            return ExitStatus.unknown
        if error.document.code == 'revision-conflict':
            print('next: read the other change with "crocusctl history"')
    return ExitStatus.refused


def _find_command(arguments: Arguments) -> Command:
    for words, command in _COMMANDS.items():
        if all(arguments[word] for word in words):
            return command
    raise LookupError


def _read_key(path: str) -> str:
    try:
        return Path(path).read_text(encoding='utf-8').strip()
    except OSError:
        return ''
