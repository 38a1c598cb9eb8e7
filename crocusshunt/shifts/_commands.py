"""Operator commands that change the state of a shift."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from crocusshunt.core import CrocusError
from crocusshunt.shifts._rows import Shift, ShiftState

_AllowedStates = frozenset[ShiftState]
ShiftCommand = Callable[[Shift], Result[Shift, 'ShiftStateError']]
_COMMANDS: dict[str, ShiftCommand] = {}


@dataclass(unsafe_hash=True)
class ShiftStateError(CrocusError):
    """A command that is not allowed in the current state of a shift.

    :param command: name of the command.
    :param state: current state of the shift.
    """

    code = 'shift-state'

    command: str
    state: ShiftState


def _register_command(
    command: str,
    allowed: _AllowedStates,
) -> Callable[[Callable[[Shift], Shift]], ShiftCommand]:
    def decorate(transition: Callable[[Shift], Shift]) -> ShiftCommand:
        def run_command(shift: Shift) -> Result[Shift, ShiftStateError]:
            if shift.state not in allowed:
                return Err(ShiftStateError(command, shift.state))
            return Ok(transition(shift))

        run_command.__doc__ = transition.__doc__
        _COMMANDS[command] = run_command
        return run_command

    return decorate


def list_commands() -> Mapping[str, ShiftCommand]:
    """Return the commands that change a shift, by name.

    >>> sorted(list_commands())
    ['finish', 'pause', 'resume', 'reverse', 'start']
    """
    return _COMMANDS


@_register_command('start', frozenset((ShiftState.planned,)))
def start_shift(shift: Shift) -> Shift:
    """Return the row of a planned shift after its start."""
    return replace(shift, state=ShiftState.running)


@_register_command(
    'pause', frozenset((ShiftState.running, ShiftState.reversing))
)
def pause_shift(shift: Shift) -> Shift:
    """Return the row of a shift that pauses and keeps its moved share."""
    return replace(shift, state=ShiftState.paused)


@_register_command('resume', frozenset((ShiftState.paused,)))
def resume_shift(shift: Shift) -> Shift:
    """Return the row of a paused shift that moves further load."""
    return replace(shift, state=ShiftState.running)


@_register_command(
    'reverse',
    frozenset((ShiftState.running, ShiftState.paused, ShiftState.finished)),
)
def reverse_shift(shift: Shift) -> Shift:
    """Return the row of a shift that moves its load back in steps."""
    return replace(shift, state=ShiftState.reversing)


@_register_command('finish', frozenset((ShiftState.running, ShiftState.paused)))
def finish_shift(shift: Shift) -> Shift:
    """Return the row of a shift that ends and keeps its moved share."""
    return replace(shift, state=ShiftState.finished)
