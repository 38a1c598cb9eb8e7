"""Sendings of one admitted request to backend servers."""

import asyncio
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from crocusshunt.core import Clock
from crocusshunt.front._exchange import Attempt, Exchanger, Outcome, Verdict
from crocusshunt.front._outcomes import Refusal, Status, refuse_unavailable
from crocusshunt.front._placing import Placement, Placer, Placing
from crocusshunt.front._trace import Trace
from crocusshunt.placement import TrackedServer
from crocusshunt.sharing import RetryLimiter
from crocusshunt.upstream import UpstreamAnswer

_MAX_SENDINGS = 4
_RECHECK_S = 0.03
# Held longer, a request that ends refused would have been better refused at
# once; a share of the latency objective.
_HOLD = 0.12
_LEAST_TIME_S = 0.02
_LEAST_RETRY_AFTER_S = 0.2

Ending = Result[UpstreamAnswer, Refusal]


@dataclass(slots=True)
class Job:
    """An admitted request on its way.

    :param sendings: times it was sent to a server.
    :param runs: sendings that a server may have run.
    """

    placing: Placing
    attempt: Attempt
    trace: Trace
    sendings: int = 0
    runs: int = 0
    last: Outcome | None = None


class Dispatcher:
    """Sends a request until it has an answer, or nothing more may be tried."""

    def __init__(
        self,
        placer: Placer,
        exchanger: Exchanger,
        retries: RetryLimiter,
        clock: Clock,
    ) -> None:
        """Use the parts of a host."""
        self._placer = placer
        self._exchanger = exchanger
        self._retries = retries
        self._clock = clock

    async def run(self, job: Job) -> Ending:
        """Return the answer for the caller."""
        now = self._clock.monotonic()
        self._retries.note_request(job.placing.pool, now)
        self._placer.note_request(now)
        held_until = now + self._find_hold(job)
        while True:
            placement = self._placer.place(job.placing)
            if placement.server is None:
                refused = self._refuse(job, placement, held_until)
                if refused is not None:
                    return refused
                await asyncio.sleep(_RECHECK_S)
                continue
            outcome = await self._send(job, placement.server, placement)
            if not self._may_go_on(job, outcome):
                return _conclude(job, outcome)
            tried = {*job.placing.tried, placement.server.entry.name}
            job.placing = replace(job.placing, tried=frozenset(tried))

    async def _send(
        self,
        job: Job,
        server: TrackedServer,
        placement: Placement,
    ) -> Outcome:
        now = self._clock.monotonic()
        if job.placing.final_at - now <= _LEAST_TIME_S:
            return Outcome(Verdict.timed_out, detail='no time left')
        job.sendings += 1
        job.trace.note_sending(server, placement, now)
        outcome = await self._exchanger.run(
            job.attempt,
            server,
            job.placing,
        )
        job.trace.note_outcome(outcome)
        job.last = outcome
        if outcome.may_have_run:
            job.runs += 1
        return outcome

    def _find_hold(self, job: Job) -> float:
        return _HOLD * job.placing.admission.route.objective_s

    def _refuse(
        self,
        job: Job,
        placement: Placement,
        held_until: float,
    ) -> Ending | None:
        """Return the end of a request that no server can take, if it is due."""
        now = self._clock.monotonic()
        if job.last is not None:
            return _conclude(job, job.last)
        if placement.cause == 'no-room' and now < held_until:
            return None
        job.trace.note_refusal(placement)
        wait_s = max(_LEAST_RETRY_AFTER_S, placement.wait_s)
        return Err(refuse_unavailable(placement.cause, wait_s))

    def _may_go_on(self, job: Job, outcome: Outcome) -> bool:
        """Tell whether a request may be sent to another server."""
        if outcome.verdict is Verdict.answered or job.sendings >= _MAX_SENDINGS:
            return False
        now = self._clock.monotonic()
        if job.placing.final_at - now <= _LEAST_TIME_S:
            return False
        if outcome.verdict is Verdict.unreachable:
            return True
        route = job.placing.admission.route
        if outcome.may_have_run:
            if not route.is_idempotent or job.runs >= route.max_attempts:
                return False
        return self._retries.spend(job.placing.pool, now)


def _conclude(job: Job, outcome: Outcome) -> Ending:
    """Return what the caller gets after the last sending."""
    if outcome.answer is not None and outcome.verdict in _PASSED_ON:
        return Ok(outcome.answer)
    if job.runs == 0:
        cause = f'not-run-{outcome.verdict.value}'
        return Err(refuse_unavailable(cause, _LEAST_RETRY_AFTER_S))
    if outcome.verdict is Verdict.timed_out:
        return Err(Refusal(Status.timeout, 'timeout'))
    return Err(Refusal(Status.bad_gateway, f'server-{outcome.verdict.value}'))


_PASSED_ON = frozenset((Verdict.answered, Verdict.failed))
