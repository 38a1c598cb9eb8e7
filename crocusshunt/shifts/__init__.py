"""Planned shifts of a pool's load from one region to another."""

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
from crocusshunt.shifts._preview import (
    RegionShare,
    ShiftPreview,
    find_region_shares,
    preview_shift,
)
from crocusshunt.shifts._rows import Shift, ShiftState
from crocusshunt.shifts._step_limits import find_step_violations
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
    'find_region_shares',
    'find_step_violations',
    'finish_shift',
    'list_commands',
    'pause_shift',
    'plan_step',
    'preview_shift',
    'resume_shift',
    'reverse_shift',
    'start_shift',
)
