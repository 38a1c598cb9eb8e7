"""Delivery of one admitted request to backend servers, with retries."""

import itertools
from dataclasses import replace

from result import Err, Ok, Result

from crocusshunt.core import Clock
from crocusshunt.front._attempts import Outcome, Verdict
from crocusshunt.front._crash_watch import CrashWatch
from crocusshunt.front._exchange import Exchanger
from crocusshunt.front._in_flight import InFlight
from crocusshunt.front._isolation_watch import IsolationWatch
from crocusshunt.front._outcomes import (
    CAUSE_STOPPING,
    OTHER_HOST_RETRY_S,
    Refusal,
    Status,
    refuse_unavailable,
)
from crocusshunt.front._pending import PendingRequest
from crocusshunt.front._placement import Placer
from crocusshunt.front._placements import Placement
from crocusshunt.front._refusals import RefusalAdvisor
from crocusshunt.front._retry_rules import (
    MIN_REMAINING_S,
    RetryRules,
    may_run_again,
)
from crocusshunt.front._waiting import SlotWaiters
from crocusshunt.placement import (
    TrackedServer,
    WaitingRank,
    compute_pause,
    compute_wait_limit,
)
from crocusshunt.upstream import UpstreamAnswer

# Shortest time that a request waits for a free slot before it is refused, as a
# fraction of the latency objective.
_MIN_WAIT_FRACTION = 0.12
_CAUSE_QUARANTINED = 'quarantined'

DispatchResult = Result[UpstreamAnswer, Refusal]


class Dispatcher:
    """Sends a request to servers until one responds or no retry is allowed.

    A failed attempt is retried on another server if the request cannot have
    been executed, or its route is idempotent and has executions left. Attempts
    after the first one that may have reached a server count against the retry
    limit.
    """

    def __init__(
        self,
        placer: Placer,
        advisor: RefusalAdvisor,
        exchanger: Exchanger,
        crashes: CrashWatch,
        retry_rules: RetryRules,
        in_flight: InFlight,
        clock: Clock,
    ) -> None:
        """Use the components of a host."""
        self._placer = placer
        self._advisor = advisor
        self._exchanger = exchanger
        self._crashes = crashes
        self._retry_rules = retry_rules
        self._retries = retry_rules.retries
        self._in_flight = in_flight
        self._clock = clock
        self._waiters = SlotWaiters()
        self._numbers = itertools.count()

    async def run(self, pending: PendingRequest) -> DispatchResult:
        """Return the response for the caller, or the reason for a refusal."""
        now = self._clock.monotonic()
        self._placer.note_request(pending.request)
        fingerprint = pending.template.fingerprint
        is_trial = self._crashes.begin_trial(fingerprint)
        while is_trial or not self._crashes.is_quarantined(fingerprint):
            placement = await self._place(pending, now)
            if not isinstance(placement, Placement):
                return placement
            if placement.server is None:
                continue
            is_trial = False
            ended = await self._try_server(pending, placement.server, placement)
            if ended is not None:
                return ended
        return Err(self._refuse_quarantined(pending))

    def can_finish(
        self, pending: PendingRequest, placement: Placement | None = None
    ) -> bool:
        """Tell whether a request can be answered before this host stops.

        :param placement: None where it goes to another host.
        """
        expected_s: float = 0
        if placement is not None:
            expected_s = placement.finish_s or placement.fastest_s
        request = pending.request
        return self._in_flight.can_answer(
            expected_s or request.admission.route.objective_s,
            request.final_at,
            self._clock.monotonic(),
        )

    async def _place(
        self, pending: PendingRequest, started_at: float
    ) -> Placement | DispatchResult:
        """Choose a server, or wait a while until one may have room.

        :param started_at: when the request began to look for a server,
            monotonic seconds.
        :return: the result of a request that is sent no more.
        """
        withdrawn = self._renew(pending)
        if withdrawn is not None:
            return withdrawn
        _update_isolation(pending, self._crashes.isolation)
        placement = self._placer.place(pending.request)
        if not self.can_finish(pending, placement):
            return self._refuse_late(pending)
        if placement.server is None:
            refused = self._refuse_if_due(pending, placement, started_at)
            if refused is not None:
                return refused
            await self._wait_for_slot(pending, placement)
        return placement

    def _refuse_late(self, pending: PendingRequest) -> DispatchResult:
        """Return the result of a request that is sent no more."""
        if pending.last_outcome is not None and pending.executions:
            return self._create_result(pending, pending.last_outcome)
        return Err(refuse_unavailable(CAUSE_STOPPING, OTHER_HOST_RETRY_S))

    def _renew(self, pending: PendingRequest) -> DispatchResult | None:
        """Apply the newest configuration to a request.

        :return: the result of a request that is sent no more, else None.
        """
        renewed = self._placer.renew(pending.request)
        if isinstance(renewed, Ok):
            pending.request = renewed.ok_value
            admission = renewed.ok_value.admission
            pending.trace.configuration = admission.configuration
        last = pending.last_outcome
        if last is None or not pending.executions:
            return renewed if isinstance(renewed, Err) else None
        if isinstance(renewed, Ok) and may_run_again(pending):
            return None
        return self._create_result(pending, last)

    async def _try_server(
        self,
        pending: PendingRequest,
        server: TrackedServer,
        placement: Placement,
    ) -> DispatchResult | None:
        """Send a request; return the result, None to try another server."""
        spent_at = self._clock.monotonic()
        repeated = pending.last_outcome if pending.arrivals else None
        if repeated and not self._retries.spend(pending.request.pool):
            return self._create_result(pending, repeated)
        outcome = await self._send(pending, server, placement)
        if repeated and not outcome.has_arrived:
            self._retries.take_back(pending.request.pool, spent_at)
        self._waiters.offer(server.entry.name)
        if self._is_ended_by_quarantine(pending, outcome):
            return Err(self._refuse_quarantined(pending))
        if not self._retry_rules.may_retry(pending, outcome):
            return self._create_result(pending, outcome)
        tried = {*pending.request.tried, server.entry.name}
        pending.request = replace(pending.request, tried=frozenset(tried))
        return None

    def _is_ended_by_quarantine(
        self, pending: PendingRequest, outcome: Outcome
    ) -> bool:
        if outcome.verdict is not Verdict.timed_out:
            return False
        return self._crashes.is_quarantined(pending.template.fingerprint)

    def _refuse_quarantined(self, pending: PendingRequest) -> Refusal:
        """Return the refusal of a request under which servers crash."""
        pending.trace.fingerprint = pending.template.fingerprint
        if pending.executions:
            return Refusal(Status.bad_gateway, _CAUSE_QUARANTINED)
        wait_s = self._crashes.estimate_release(pending.trace.fingerprint)
        return refuse_unavailable(_CAUSE_QUARANTINED, wait_s)

    async def _send(
        self,
        pending: PendingRequest,
        server: TrackedServer,
        placement: Placement,
    ) -> Outcome:
        now = self._clock.monotonic()
        if pending.request.final_at - now <= MIN_REMAINING_S:
            return Outcome(Verdict.timed_out, detail='no time left')
        if not pending.attempts:
            pending.first_sent_at = now
        pending.attempts += 1
        pending.trace.record_attempt(server, placement, now)
        outcome = await self._exchanger.send(
            pending.template,
            server,
            pending.request,
        )
        pending.trace.record_outcome(outcome)
        if outcome.is_connection_lost:
            pending.trace.fingerprint = pending.template.fingerprint
        pending.last_outcome = outcome
        pending.last_server = server
        pending.arrivals += int(outcome.has_arrived)
        pending.executions += int(outcome.may_have_run)
        return outcome

    async def _wait_for_slot(
        self, pending: PendingRequest, placement: Placement
    ) -> None:
        request = pending.request
        rank = WaitingRank(
            request.admission.urgency,
            request.objective_at,
            next(self._numbers),
        )
        servers = [one.name for one in placement.considered]
        pause_s = compute_pause(placement.wait_s)
        await self._waiters.wait(rank, servers, pause_s)

    def _refuse_if_due(
        self,
        pending: PendingRequest,
        placement: Placement,
        started_at: float,
    ) -> DispatchResult | None:
        """Return the result of a request without a server, None to wait on.

        A request that was not sent yet may wait for a server with room.

        :param started_at: when it began to look for a server, monotonic
            seconds.
        """
        now = self._clock.monotonic()
        if pending.last_outcome is not None:
            return self._create_result(pending, pending.last_outcome)
        if placement.cause == 'no-room':
            objective_s = pending.request.admission.route.objective_s
            limit_s = compute_wait_limit(
                pending.request.objective_at - now,
                placement.fastest_s,
                _MIN_WAIT_FRACTION * objective_s - (now - started_at),
            )
            if limit_s > 0:
                return None
        pending.trace.record_refusal(
            placement, self._advisor.list_passed_over(pending.request)
        )
        wait_s = self._advisor.schedule_return(pending.request, placement)
        return Err(refuse_unavailable(placement.cause, wait_s))

    def _create_result(
        self, pending: PendingRequest, outcome: Outcome
    ) -> DispatchResult:
        """Return what the caller gets after the last attempt."""
        if outcome.response is not None and outcome.verdict in _RELAYED:
            return Ok(outcome.response)
        if pending.executions == 0:
            cause = f'not-run-{outcome.verdict.value}'
            wait_s = self._estimate_return(pending, outcome)
            return Err(refuse_unavailable(cause, wait_s))
        if outcome.verdict is Verdict.timed_out:
            return Err(Refusal(Status.timeout, 'timeout'))
        cause = f'server-{outcome.verdict.value}'
        return Err(Refusal(Status.bad_gateway, cause))

    def _estimate_return(
        self, pending: PendingRequest, outcome: Outcome
    ) -> float:
        """Return when a request that was not run may come back, in seconds."""
        server = pending.last_server
        if server is None or outcome.verdict not in _TURNED_AWAY:
            return self._advisor.estimate_reachable(pending.request)
        return self._advisor.schedule_resend(pending.request, server)


def _update_isolation(
    pending: PendingRequest, isolation: IsolationWatch
) -> None:
    request = pending.request
    fingerprint = pending.template.fingerprint
    is_isolated = isolation.is_isolated(fingerprint, request.origin)
    if request.is_isolated != is_isolated:
        pending.request = replace(request, is_isolated=is_isolated)


_RELAYED = frozenset((Verdict.answered, Verdict.failed))
_TURNED_AWAY = frozenset((Verdict.shed, Verdict.withheld))
