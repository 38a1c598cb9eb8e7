"""Steps of the running shifts."""

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
_MOVING = frozenset((ShiftState.running, ShiftState.reversing))


class Proposer(Protocol):
    """Writes changes of the configuration conditionally."""

    async def propose(
        self,
        request: ChangeRequest,
        held: Configuration,
    ) -> Result[Change, ProposalError]:
        """Check and write a change."""


@dataclass(frozen=True, slots=True)
class ShiftSources:
    """What the runner reads, each at the moment of a step.

    :param configuration: the configuration in force here.
    :param hosts: names of the live hosts.
    :param readings: the newest measurements.
    """

    configuration: Callable[[], Configuration]
    hosts: Callable[[], tuple[str, ...]]
    readings: Callable[[], Readings]


@dataclass(slots=True)
class ShiftRunner:
    """Advances the shifts whose runner this host is.

    A step is a change of the shift's row, conditional on the revision that
    it was decided from. So of two hosts that both take themselves for the
    runner one writes, and a host that was paused in mid-step fails.
    """

    name: str
    sources: ShiftSources
    proposer: Proposer
    clock: Clock
    settings: StepSettings = field(default_factory=StepSettings)
    _seen_s: dict[tuple[str, int], float] = field(default_factory=dict)

    async def run(self) -> None:
        """Advance for ever."""
        while True:
            await self.advance()
            await asyncio.sleep(_PERIOD_S)

    async def advance(self) -> tuple[Result[Change, CrocusError], ...]:
        """Take each step that is due, and return what became of it."""
        held = self.sources.configuration()
        moving = [
            shift
            for shift in held.tables.select(Shift)
            if shift.state in _MOVING
        ]
        self._note_steps(moving)
        outcomes = []
        for shift in moving:
            if self._is_runner(shift):
                outcome = await self._advance(shift, held)
                _log_outcome(shift, outcome)
                outcomes.append(outcome)
        return tuple(outcomes)

    def _note_steps(self, moving: list[Shift]) -> None:
        """Keep when each step was first seen; every host does.

        A host sees a step after it was written, so the time since then is
        never overestimated, whatever the hosts' clocks show.
        """
        now_s = self.clock.monotonic()
        places = {(shift.name, shift.step) for shift in moving}
        self._seen_s = {
            place: self._seen_s.get(place, now_s) for place in places
        }

    def _is_runner(self, shift: Shift) -> bool:
        ranked = rank_by_rendezvous(f'shift {shift.name}', self.sources.hosts())
        return bool(ranked) and ranked[0] == self.name

    async def _advance(
        self,
        shift: Shift,
        held: Configuration,
    ) -> Result[Change, CrocusError]:
        seen_s = self._seen_s[shift.name, shift.step]
        inputs = StepInputs(
            self.sources.readings(),
            _find_limit(held.tables, shift),
            self.clock.monotonic() - seen_s,
        )
        planned = plan_step(shift, inputs, self.settings)
        if isinstance(planned, Err):
            return planned
        request = _create_request(planned.ok_value, held)
        written = await self.proposer.propose(request, held)
        if isinstance(written, Ok):
            return written
        return Err(written.err_value)


def _find_limit(tables: Tables, shift: Shift) -> float:
    return min(
        (
            link.mbits
            for link in tables.select(Link)
            if (link.source, link.target) == (shift.source, shift.target)
        ),
        default=0,
    )


def _create_request(shift: Shift, held: Configuration) -> ChangeRequest:
    """Return the change of a step; its id is the same on every host."""
    digest = held.digest[:_DIGEST_DIGITS]
    return ChangeRequest(
        change_id=f'shift-{shift.name}-{shift.step}-{digest}',
        expected=held.revision,
        author='controller',
        reason=f'step {shift.step}: {shift.moved:.1%} moved',
        edits=(EditRequest('shift', shift.name, encode_row(shift)),),
    )


def _log_outcome(shift: Shift, outcome: Result[Change, CrocusError]) -> None:
    text = 'taken'
    if isinstance(outcome, Err):
        text = outcome.err_value.describe()
    log_event('shift step', shift=shift.name, step=shift.step, outcome=text)
