"""Attempts of one admitted request, within its deadline and budget."""

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
    Ending,
    Job,
    Progress,
    is_loss,
    is_overloaded,
    is_retryable,
    name_account,
    prepare_forward,
    refuse_late,
)
from crocusshunt.gateway._picking import RoomRequest, ServerState
from crocusshunt.gateway._rooms import Rooms
from crocusshunt.gateway._suspects import SuspectRegistry
from crocusshunt.routing import Server

_MAX_ATTEMPTS = 2
_MAX_TRIED = 8

_Grant = Result[Server, Outcome]


@dataclass(frozen=True, slots=True)
class DispatchParts:
    """What attempts need.

    :param retries: budget for attempts after a failure.
    :param sheds: budget for attempts after a server had no room.
    """

    rooms: Rooms
    state: ServerState
    forwarder: Forwarder
    suspects: SuspectRegistry
    retries: RetryBudget
    sheds: RetryBudget


class Dispatcher:
    """Runs jobs at backend servers."""

    def __init__(self, parts: DispatchParts, clock: Clock) -> None:
        """Use the parts of a gateway."""
        self._parts = parts
        self._clock = clock

    async def run(self, job: Job) -> Ending:
        """Wait for room, then try until an answer or a final failure."""
        self._parts.retries.earn(*name_account(job))
        self._parts.sheds.earn(*name_account(job))
        room = self._ask_room(job)
        grant: _Grant = await self._parts.rooms.acquire(room)
        progress = Progress(room)
        while isinstance(grant, Ok):
            server = grant.ok_value
            outcome = await self._attempt(job, server)
            progress.note(server, outcome)
            lost = self._note(job, server, outcome)
            progress.suspicion = lost or progress.suspicion
            if not self._may_retry(job, progress):
                return Ending(outcome, progress.suspicion)
            grant = await self._find_next(progress)
        return Ending(grant.err_value, progress.suspicion)

    async def _find_next(self, progress: Progress) -> Result[Server, Outcome]:
        """Return another server with room.

        A request that no server had room for goes back to the queue, at the
        place it had; one whose server failed ends.
        """
        rooms = self._parts.rooms
        is_first = len(progress.tried) < _MAX_TRIED
        room = replace(progress.room, tried=progress.tried)
        server = rooms.acquire_now(room) if is_first else None
        if server is not None:
            return Ok(server)
        if not is_overloaded(progress.outcome):
            return Err(progress.outcome)
        progress.tried = ()
        return await rooms.acquire(progress.room)

    async def _attempt(self, job: Job, server: Server) -> Outcome:
        try:
            return await self._send(job, server)
        finally:
            self._parts.rooms.release(server)

    async def _send(self, job: Job, server: Server) -> Outcome:
        remaining = job.deadline - self._clock.monotonic()
        if remaining <= 0 or self._is_claim_over(job):
            return refuse_late()
        job.trace.note_server(server)
        request = prepare_forward(job, remaining)
        attempt = Attempt(server, request, job.reply.relay)
        return await self._parts.forwarder.send(attempt)

    def _is_claim_over(self, job: Job) -> bool:
        held = job.held
        return held is not None and self._clock.wall() >= held.claim.ends_at

    def _note(
        self,
        job: Job,
        server: Server,
        outcome: Outcome,
    ) -> CrashSuspicion | None:
        state, now = self._parts.state, self._clock.monotonic()
        if isinstance(outcome, Answered):
            state.loads.note_answer(server)
            state.outliers.note_success(server, now)
        elif is_overloaded(outcome):
            state.loads.note_shed(server)
        elif outcome != refuse_late():
            state.outliers.note_failure(server, now)
        if not is_loss(outcome):
            return None
        customer = job.admission.customer
        return self._parts.suspects.note_loss(
            customer,
            job.fingerprint(),
            f'{server.name} {job.request_id}',
        )

    def _may_retry(self, job: Job, progress: Progress) -> bool:
        outcome = progress.outcome
        if not is_retryable(outcome, job) or not job.body.is_resendable:
            return False
        if self._clock.monotonic() >= job.deadline:
            return False
        if is_overloaded(outcome):
            return self._parts.sheds.spend(*name_account(job))
        is_allowed = progress.failures < _MAX_ATTEMPTS
        return is_allowed and self._parts.retries.spend(*name_account(job))

    def _ask_room(self, job: Job) -> RoomRequest:
        route = job.admission.route
        return RoomRequest(
            self._parts.rooms.create_number(),
            self._clock.monotonic(),
            route.pool,
            job.admission.customer,
            route.priority,
            job.deadline,
        )
