"""Whether a request may be sent to another server."""

from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.front._attempts import Outcome, Verdict
from crocusshunt.front._isolation_watch import IsolationWatch
from crocusshunt.front._pending import PendingRequest
from crocusshunt.front._retry_watch import RetryWatch
from crocusshunt.front._server_reach import ServerReach

_MAX_ATTEMPTS = 4
# More servers are tried within this time of the first attempt while none is
# reached: entries whose addresses refuse connections cost little.
_MAX_SEARCH_S = 1
# With less time until its deadline, a request is not sent.
MIN_REMAINING_S = 0.02


@dataclass(frozen=True, slots=True)
class RetryRules:
    """Decides on retries by outcome, time, route, retry limit and crashes."""

    isolation: IsolationWatch
    reach: ServerReach
    retries: RetryWatch
    clock: Clock

    def may_retry(self, pending: PendingRequest, outcome: Outcome) -> bool:
        """Tell whether a request may be sent to another server."""
        now = self.clock.monotonic()
        if outcome.verdict is Verdict.answered or _is_used_up(pending, now):
            return False
        if outcome.verdict is Verdict.unreachable:
            return not self.reach.is_cut_off
        if outcome.verdict is Verdict.withheld:
            return True
        if outcome.verdict is Verdict.timed_out:
            return False
        if outcome.may_have_run and not may_run_again(pending):
            return False
        if outcome.is_connection_lost and not self._is_harmless(pending):
            return False
        return self.retries.is_left(pending.request.pool)

    def _is_harmless(self, pending: PendingRequest) -> bool:
        """Tell whether a request that lost its server may get another one."""
        fingerprint = pending.template.fingerprint
        return self.isolation.may_retry(fingerprint, pending.request.origin)


def _is_used_up(pending: PendingRequest, now: float) -> bool:
    """Tell whether a request has no attempt or no time left."""
    if pending.arrivals >= _MAX_ATTEMPTS:
        return True
    searched_s = now - pending.first_sent_at
    if pending.attempts >= _MAX_ATTEMPTS and searched_s >= _MAX_SEARCH_S:
        return True
    return pending.request.final_at - now <= MIN_REMAINING_S


def may_run_again(pending: PendingRequest) -> bool:
    """Tell whether a request that may have run may be sent again."""
    route = pending.request.admission.route
    return route.is_idempotent and pending.executions < route.max_attempts
