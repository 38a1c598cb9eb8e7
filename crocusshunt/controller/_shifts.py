"""Advances the shifts that move traffic from one region to another."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from result import Err, Ok, Result

from crocusshunt.configuration import (
    Change,
    ChangeRequest,
    Configuration,
    EditRequest,
    ProposalError,
    encode_row,
)
from crocusshunt.core import Clock, CrocusError, rank_by_rendezvous
from crocusshunt.logs import log_event
from crocusshunt.routing import Link, Tables
from crocusshunt.shifts import (
    Shift,
    ShiftState,
    StepInputs,
    StepSettings,
    plan_step,
)
from crocusshunt.steering import Readings

_PERIOD_S = 2
_DIGEST_DIGITS = 16
_ACTIVE_STATES = frozenset((ShiftState.running, ShiftState.reversing))


class Proposer(Protocol):
    """Writes changes of the configuration conditionally."""

    async def propose(
        self,
        request: ChangeRequest,
        held: Configuration,
    ) -> Result[Change, ProposalError]:
        """Check and write a change.

        :param held: the configuration of the newest revision, against which
            the change is checked.
        """


@dataclass(frozen=True, slots=True)
class ShiftSources:
    """Functions that return what the runner needs to decide a step.

    :param get_configuration: returns the configuration in force here.
    :param list_hosts: returns the names of the live hosts.
    :param get_readings: returns the newest measurements.
    """

    get_configuration: Callable[[], Configuration]
    list_hosts: Callable[[], tuple[str, ...]]
    get_readings: Callable[[], Readings]


@dataclass(slots=True)
class ShiftRunner:
    """Advances the shifts whose runner this host is.

    The runner of a shift is the first live host in the rendezvous ranking of
    the shift's name. A step is a change of the shift's row, written on the
    condition that the configuration still has the revision from which the step
    was decided. So if two hosts both act as the runner, only one write
    succeeds, and that of a host that was paused in the middle of a step fails.

    :param host: name of this host.
    :ivar _first_seen_s: monotonic time at which this host first saw each step,
        by name of the shift and number of the step, in seconds.
    """

    host: str
    sources: ShiftSources
    proposer: Proposer
    clock: Clock
    settings: StepSettings = field(default_factory=StepSettings)
    _first_seen_s: dict[tuple[str, int], float] = field(default_factory=dict)

    async def run(self) -> None:
        """Advance the shifts for ever."""
        while True:
            await self.advance()
            await asyncio.sleep(_PERIOD_S)

    async def advance(self) -> tuple[Result[Change, CrocusError], ...]:
        """Take each step that is due and return the outcome of each shift.

        A shift whose step is not due or not allowed yields an error.
        """
        configuration = self.sources.get_configuration()
        active_shifts = [
            shift
            for shift in configuration.tables.select(Shift)
            if shift.state in _ACTIVE_STATES
        ]
        self._record_first_seen(active_shifts)
        outcomes = []
        for shift in active_shifts:
            if self._is_runner(shift):
                outcome = await self._take_step(shift, configuration)
                _log_outcome(shift, outcome)
                outcomes.append(outcome)
        return tuple(outcomes)

    def _record_first_seen(self, active_shifts: list[Shift]) -> None:
        """Record when this host first saw the latest step of each shift.

        Every host does so, since any of them may become the runner. A host
        sees a step only after it was written, so the time since the step is
        never overestimated, however much the hosts' clocks differ.
        """
        now_s = self.clock.monotonic()
        steps = {(shift.name, shift.step) for shift in active_shifts}
        self._first_seen_s = {
            step: self._first_seen_s.get(step, now_s) for step in steps
        }

    def _is_runner(self, shift: Shift) -> bool:
        ranked = rank_by_rendezvous(
            f'shift {shift.name}', self.sources.list_hosts()
        )
        return bool(ranked) and ranked[0] == self.host

    async def _take_step(
        self,
        shift: Shift,
        configuration: Configuration,
    ) -> Result[Change, CrocusError]:
        first_seen_s = self._first_seen_s[shift.name, shift.step]
        inputs = StepInputs(
            self.sources.get_readings(),
            _find_link_mbits(configuration.tables, shift),
            self.clock.monotonic() - first_seen_s,
        )
        next_shift = plan_step(shift, inputs, self.settings)
        if isinstance(next_shift, Err):
            return next_shift
        request = _create_request(next_shift.ok_value, configuration)
        written = await self.proposer.propose(request, configuration)
        if isinstance(written, Ok):
            return written
        return Err(written.err_value)


def _find_link_mbits(tables: Tables, shift: Shift) -> float:
    return min(
        (
            link.mbits
            for link in tables.select(Link)
            if (link.source, link.target) == (shift.source, shift.target)
        ),
        default=0,
    )


def _create_request(
    shift: Shift, configuration: Configuration
) -> ChangeRequest:
    """Return the change that writes a step.

    Its id follows from the step and the configuration, so it is the same on
    every host and when the step is tried again.
    """
    digest = configuration.digest[:_DIGEST_DIGITS]
    return ChangeRequest(
        change_id=f'shift-{shift.name}-{shift.step}-{digest}',
        expected=configuration.revision,
        author='controller',
        reason=f'step {shift.step}: {shift.moved:.1%} moved',
        edits=(EditRequest('shift', shift.name, encode_row(shift)),),
    )


def _log_outcome(shift: Shift, outcome: Result[Change, CrocusError]) -> None:
    text = 'taken'
    if isinstance(outcome, Err):
        text = outcome.err_value.describe()
    log_event('shift step', shift=shift.name, step=shift.step, outcome=text)
