"""Soak tests: random faults against real processes, guarantees checked."""

from crocusshunt.soak import (  # noqa: F401
    _end_checks,
    _faults,
    _series_faults,
    _server_faults,
    _start_faults,
    _store_faults,
)
from crocusshunt.soak._check_registry import CheckLimits
from crocusshunt.soak._checks import Violation, find_violations
from crocusshunt.soak._plan import PlannedFault, SoakSettings, plan_faults
from crocusshunt.soak._processes import HostProcess
from crocusshunt.soak._records import (
    Call,
    CallOutcome,
    Change,
    ChangeKind,
    FaultInterval,
    Records,
    Run,
)
from crocusshunt.soak._registry import list_faults
from crocusshunt.soak._run import SoakResult, run_soak
from crocusshunt.soak._server_records import (
    Arrival,
    HostCut,
    ServerLimit,
    ServerNotice,
)

__all__ = (
    'Arrival',
    'Call',
    'CallOutcome',
    'Change',
    'ChangeKind',
    'CheckLimits',
    'FaultInterval',
    'HostCut',
    'HostProcess',
    'PlannedFault',
    'Records',
    'Run',
    'ServerLimit',
    'ServerNotice',
    'SoakResult',
    'SoakSettings',
    'Violation',
    'find_violations',
    'list_faults',
    'plan_faults',
    'run_soak',
)
