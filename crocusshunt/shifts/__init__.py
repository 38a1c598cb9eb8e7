"""Planned shifts of load from one region to another."""

from crocusshunt.shifts import _checks  # noqa: F401
from crocusshunt.shifts._commands import (
    ShiftCommand,
    ShiftStateError,
    finish_shift,
    list_commands,
    pause_shift,
    resume_shift,
    reverse_shift,
    start_shift,
)
from crocusshunt.shifts._jumps import find_jumps
from crocusshunt.shifts._preview import (
    RegionShare,
    ShiftPreview,
    find_region_shares,
    preview_shift,
)
from crocusshunt.shifts._rows import Shift, ShiftState
from crocusshunt.shifts._steps import (
    HeldStepError,
    StepInputs,
    StepSettings,
    plan_step,
)

__all__ = (
    'HeldStepError',
    'RegionShare',
    'Shift',
    'ShiftCommand',
    'ShiftPreview',
    'ShiftState',
    'ShiftStateError',
    'StepInputs',
    'StepSettings',
    'find_jumps',
    'find_region_shares',
    'finish_shift',
    'list_commands',
    'pause_shift',
    'plan_step',
    'preview_shift',
    'resume_shift',
    'reverse_shift',
    'start_shift',
)
