"""Claims and outcomes of requests, recorded before and after they run."""

from result import Err, Result

from crocusshunt.delivery import (
    Answered,
    ClaimState,
    NotRun,
    ResponseInterrupted,
)
from crocusshunt.gateway._claiming import (
    ClaimLedger,
    ClaimRefusal,
    ClaimRequest,
    HeldClaim,
)
from crocusshunt.gateway._draining import InFlight
from crocusshunt.gateway._jobs import DispatchResult, Job
from crocusshunt.gateway._suspects import SuspectRegistry
from crocusshunt.services import TaskGroup


class OutcomeRecorder:
    """Claims idempotency keys, records outcomes and shares suspicions."""

    def __init__(
        self,
        ledger: ClaimLedger,
        suspects: SuspectRegistry,
        in_flight: InFlight,
        tasks: TaskGroup,
    ) -> None:
        """Use the given parts of a gateway.

        :param in_flight: also counts outcomes that are being recorded, so
            that a stop waits for them.
        :param tasks: group of the background tasks.
        """
        self._ledger = ledger
        self._suspects = suspects
        self._in_flight = in_flight
        self._tasks = tasks

    async def claim(self, job: Job) -> Result[HeldClaim, ClaimRefusal]:
        """Claim a request's idempotency key before dispatch.

        A claim whose insert was not confirmed is withdrawn in the
        background.
        """
        request = ClaimRequest(
            job.admission.customer,
            job.inspected.idempotency_key,
            job.fingerprint(),
            job.request_id,
            job.deadline,
        )
        claimed = await self._ledger.claim(request)
        if isinstance(claimed, Err) and _is_claim_uncertain(claimed.err_value):
            self._tasks.start(self._ledger.withdraw(request))
        return claimed

    def record_unknown(self, job: Job) -> None:
        """Record in the background that the outcome is unknown."""
        self._record_in_background(job, ClaimState.unknown)

    async def record_outcome(
        self, job: Job, dispatched: DispatchResult
    ) -> None:
        """Record an outcome, and share the suspicion that it raised.

        An answered request drops its own suspicion.
        """
        outcome, suspects = dispatched.outcome, self._suspects
        if isinstance(outcome, NotRun) and job.held is not None:
            # Before the response is sent, so that the caller may repeat the
            # request at once.
            await self._ledger.record(job.held, ClaimState.released)
        elif isinstance(outcome, Answered | ResponseInterrupted):
            self._record_in_background(job, ClaimState.answered)
        else:
            self._record_in_background(job, ClaimState.unknown)
        if isinstance(outcome, Answered):
            if suspects.has_suspects(job.admission.customer):
                customer = job.admission.customer
                await suspects.forget(customer, job.fingerprint())
        elif dispatched.suspicion is not None:
            await suspects.share(dispatched.suspicion)

    def _record_in_background(self, job: Job, state: ClaimState) -> None:
        if job.held is not None:
            self._tasks.start(self._record(job.held, job, state))

    async def _record(
        self,
        held: HeldClaim,
        job: Job,
        state: ClaimState,
    ) -> None:
        answer = job.relay.create_record()
        recorded_state = state if answer is None else ClaimState.answered
        with self._in_flight.track(f'{job.request_id}-record'):
            await self._ledger.record(held, recorded_state, answer)


def _is_claim_uncertain(refusal: ClaimRefusal) -> bool:
    return isinstance(refusal, NotRun) and refusal.code == 'claim-unavailable'
