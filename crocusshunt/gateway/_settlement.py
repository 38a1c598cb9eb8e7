"""What is written down of a request before and after it runs."""

from result import Err, Result

from crocusshunt.delivery import (
    Answered,
    ClaimState,
    NotRun,
    ResponseInterrupted,
)
from crocusshunt.gateway._claiming import (
    ClaimLedger,
    ClaimRequest,
    HeldClaim,
    Refusal,
)
from crocusshunt.gateway._draining import InFlight
from crocusshunt.gateway._jobs import Ending, Job
from crocusshunt.gateway._suspects import SuspectRegistry
from crocusshunt.services import TaskGroup


class Settlement:
    """Claims keys, records outcomes and shares suspicions."""

    def __init__(
        self,
        ledger: ClaimLedger,
        suspects: SuspectRegistry,
        in_flight: InFlight,
        tasks: TaskGroup,
    ) -> None:
        """Use the parts of a gateway.

        :param in_flight: counts outcomes that are still being recorded.
        """
        self._ledger = ledger
        self._suspects = suspects
        self._in_flight = in_flight
        self._tasks = tasks

    async def claim(self, job: Job) -> Result[HeldClaim, Refusal]:
        """Claim a request's idempotency key before dispatch."""
        request = ClaimRequest(
            job.admission.customer,
            job.inspected.idempotency_key,
            job.fingerprint(),
            job.request_id,
            job.deadline,
        )
        claimed = await self._ledger.claim(request)
        if isinstance(claimed, Err) and _is_undecided(claimed.err_value):
            self._tasks.start(self._ledger.withdraw(request))
        return claimed

    def record_unknown(self, job: Job) -> None:
        """Record, in the background, that a request was given up."""
        self._record_later(job, ClaimState.unknown)

    async def settle(self, job: Job, ending: Ending) -> None:
        """Record an outcome, and share the suspicion that it raised."""
        outcome, suspects = ending.outcome, self._suspects
        if isinstance(outcome, NotRun) and job.held is not None:
            # Before the answer, so that the caller may repeat at once.
            await self._ledger.record(job.held, ClaimState.released)
        elif isinstance(outcome, Answered | ResponseInterrupted):
            self._record_later(job, ClaimState.answered)
        else:
            self._record_later(job, ClaimState.unknown)
        if isinstance(outcome, Answered):
            if suspects.has_suspects(job.admission.customer):
                customer = job.admission.customer
                await suspects.forget(customer, job.fingerprint())
        elif ending.suspicion is not None:
            await suspects.share(ending.suspicion)

    def _record_later(self, job: Job, state: ClaimState) -> None:
        if job.held is not None:
            self._tasks.start(self._record(job.held, job, state))

    async def _record(
        self,
        held: HeldClaim,
        job: Job,
        state: ClaimState,
    ) -> None:
        answer = job.reply.record()
        known = state if answer is None else ClaimState.answered
        with self._in_flight.track(f'{job.request_id}-record'):
            await self._ledger.record(held, known, answer)


def _is_undecided(refusal: Refusal) -> bool:
    return isinstance(refusal, NotRun) and refusal.code == 'claim-unavailable'
