"""What operators may do with a shift."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from crocusshunt.core import CrocusError
from crocusshunt.shifts._rows import Shift, ShiftState

_States = frozenset[ShiftState]
ShiftCommand = Callable[[Shift], Result[Shift, 'ShiftStateError']]
_COMMANDS: dict[str, ShiftCommand] = {}


@dataclass(unsafe_hash=True)
class ShiftStateError(CrocusError):
    """A command that a shift's state does not allow.

    :param command: what was asked.
    :param state: state of the shift.
    """

    code = 'shift-state'

    command: str
    state: ShiftState


def _register(
    command: str,
    allowed: _States,
) -> Callable[[Callable[[Shift], Shift]], ShiftCommand]:
    def register(function: Callable[[Shift], Shift]) -> ShiftCommand:
        def run(shift: Shift) -> Result[Shift, ShiftStateError]:
            if shift.state not in allowed:
                return Err(ShiftStateError(command, shift.state))
            return Ok(function(shift))

        run.__doc__ = function.__doc__
        _COMMANDS[command] = run
        return run

    return register


def list_commands() -> Mapping[str, ShiftCommand]:
    """Return the commands by name.

    >>> sorted(list_commands())
    ['finish', 'pause', 'resume', 'reverse', 'start']
    """
    return _COMMANDS


@_register('start', frozenset((ShiftState.planned,)))
def start_shift(shift: Shift) -> Shift:
    """Return the row of a planned shift that starts."""
    return replace(shift, state=ShiftState.running)


@_register('pause', frozenset((ShiftState.running, ShiftState.reversing)))
def pause_shift(shift: Shift) -> Shift:
    """Return the row of a shift that keeps what it has moved."""
    return replace(shift, state=ShiftState.paused)


@_register('resume', frozenset((ShiftState.paused,)))
def resume_shift(shift: Shift) -> Shift:
    """Return the row of a paused shift that goes on forwards."""
    return replace(shift, state=ShiftState.running)


@_register(
    'reverse',
    frozenset((ShiftState.running, ShiftState.paused, ShiftState.finished)),
)
def reverse_shift(shift: Shift) -> Shift:
    """Return the row of a shift that moves its load back, in steps."""
    return replace(shift, state=ShiftState.reversing)


@_register('finish', frozenset((ShiftState.running, ShiftState.paused)))
def finish_shift(shift: Shift) -> Shift:
    """Return the row of a shift that stays where it is."""
    return replace(shift, state=ShiftState.finished)
