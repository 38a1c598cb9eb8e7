"""Attempts of an admitted request, limited by deadline and retry budgets."""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from crocusshunt.core import Clock
from crocusshunt.delivery import (
    Answered,
    Attempt,
    CrashSuspicion,
    Forwarder,
    Outcome,
    RetryBudget,
)
from crocusshunt.gateway._jobs import (
    DispatchResult,
    Job,
    Progress,
    create_forward_request,
    get_budget_key,
    is_overloaded,
    is_retryable,
    is_server_loss,
    refuse_expired,
)
from crocusshunt.gateway._picking import ServerStatistics, SlotRequest
from crocusshunt.gateway._slots import SlotAllocator
from crocusshunt.gateway._suspects import SuspectRegistry
from crocusshunt.routing import Server

_MAX_ATTEMPTS = 2
_MAX_SERVERS_TRIED = 8

_Grant = Result[Server, Outcome]


@dataclass(frozen=True, slots=True)
class DispatchParts:
    """Collaborators of the dispatcher.

    :param statistics: loads and failures of the servers, as seen from here.
    :param retries: budget for attempts after a failure.
    :param shed_retries: budget for attempts after a server shed the request.
    """

    slot_allocator: SlotAllocator
    statistics: ServerStatistics
    forwarder: Forwarder
    suspects: SuspectRegistry
    retries: RetryBudget
    shed_retries: RetryBudget


class Dispatcher:
    """Sends admitted requests to backend servers, and retries them.

    After two failed attempts a request is not sent again. Attempts that a
    server shed, without running them, are no failures; their retries have
    a budget of their own.
    """

    def __init__(self, parts: DispatchParts, clock: Clock) -> None:
        """Use the given parts of a gateway."""
        self._parts = parts
        self._clock = clock

    async def run(self, job: Job) -> DispatchResult:
        """Wait for a slot, then send until an answer or a final failure."""
        self._parts.retries.earn(*get_budget_key(job))
        self._parts.shed_retries.earn(*get_budget_key(job))
        slot_request = self._create_slot_request(job)
        grant: _Grant = await self._parts.slot_allocator.acquire(slot_request)
        progress = Progress(slot_request)
        while isinstance(grant, Ok):
            server = grant.ok_value
            outcome = await self._attempt(job, server)
            progress.record_attempt(server, outcome)
            suspicion = self._record_outcome(job, server, outcome)
            progress.suspicion = suspicion or progress.suspicion
            if not self._is_retry_allowed(job, progress):
                return DispatchResult(outcome, progress.suspicion)
            grant = await self._acquire_next(progress)
        return DispatchResult(grant.err_value, progress.suspicion)

    async def _acquire_next(
        self, progress: Progress
    ) -> Result[Server, Outcome]:
        """Occupy a slot at a server that was not tried yet, and return it.

        If there is none, a request that was shed goes back to the queue,
        at the position of its arrival, and may be sent to any server
        again; a request whose server failed ends with that failure.
        """
        slot_allocator = self._parts.slot_allocator
        is_another_allowed = len(progress.tried) < _MAX_SERVERS_TRIED
        slot_request = replace(progress.slot_request, tried=progress.tried)
        server = (
            slot_allocator.try_acquire(slot_request)
            if is_another_allowed
            else None
        )
        if server is not None:
            return Ok(server)
        if not is_overloaded(progress.outcome):
            return Err(progress.outcome)
        progress.tried = ()
        return await slot_allocator.acquire(progress.slot_request)

    async def _attempt(self, job: Job, server: Server) -> Outcome:
        try:
            return await self._send(job, server)
        finally:
            self._parts.slot_allocator.release(server)

    async def _send(self, job: Job, server: Server) -> Outcome:
        remaining = job.deadline - self._clock.monotonic()
        if remaining <= 0 or self._has_claim_ended(job):
            return refuse_expired()
        job.trace.note_server(server)
        request = create_forward_request(job, remaining)
        attempt = Attempt(server, request, job.relay.send)
        return await self._parts.forwarder.send(attempt)

    def _has_claim_ended(self, job: Job) -> bool:
        held = job.held
        return held is not None and self._clock.wall() >= held.claim.ends_at

    def _record_outcome(
        self,
        job: Job,
        server: Server,
        outcome: Outcome,
    ) -> CrashSuspicion | None:
        statistics, now = self._parts.statistics, self._clock.monotonic()
        if isinstance(outcome, Answered):
            statistics.loads.note_answer(server)
            statistics.outliers.note_success(server, now)
        elif is_overloaded(outcome):
            statistics.loads.note_shed(server)
        elif outcome != refuse_expired():
            statistics.outliers.note_failure(server, now)
        if not is_server_loss(outcome):
            return None
        customer = job.admission.customer
        return self._parts.suspects.note_loss(
            customer,
            job.fingerprint(),
            f'{server.name} {job.request_id}',
        )

    def _is_retry_allowed(self, job: Job, progress: Progress) -> bool:
        outcome = progress.outcome
        if not is_retryable(outcome, job) or not job.body.is_resendable:
            return False
        if self._clock.monotonic() >= job.deadline:
            return False
        if is_overloaded(outcome):
            return self._parts.shed_retries.spend(*get_budget_key(job))
        is_allowed = progress.failures < _MAX_ATTEMPTS
        return is_allowed and self._parts.retries.spend(*get_budget_key(job))

    def _create_slot_request(self, job: Job) -> SlotRequest:
        route = job.admission.route
        return SlotRequest(
            self._parts.slot_allocator.create_number(),
            self._clock.monotonic(),
            route.pool,
            job.admission.customer,
            route.priority,
            job.deadline,
        )
