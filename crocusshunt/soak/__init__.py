"""Randomized faults against real processes, with the promises checked."""

from crocusshunt.soak._checks import Terms, Violation, find_violations
from crocusshunt.soak._faults import list_faults
from crocusshunt.soak._plan import PlannedFault, SoakSettings, plan_faults
from crocusshunt.soak._records import (
    Call,
    Change,
    ChangeKind,
    Disturbance,
    Ending,
    Records,
    Run,
)
from crocusshunt.soak._run import SoakResult, run_soak

__all__ = (
    'Call',
    'Change',
    'ChangeKind',
    'Disturbance',
    'Ending',
    'PlannedFault',
    'Records',
    'Run',
    'SoakResult',
    'SoakSettings',
    'Terms',
    'Violation',
    'find_violations',
    'list_faults',
    'plan_faults',
    'run_soak',
)
