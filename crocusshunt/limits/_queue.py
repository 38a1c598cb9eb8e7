"""Queue of one customer's requests that wait for tokens at a gateway."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from crocusshunt.limits._ledger import Loan, LoanRequest
from crocusshunt.limits._token_cache import TokenCache

_MAX_BATCH_TOKENS = 64
_MIN_PAUSE_S = 0.01
_DEMAND_WINDOW_S = 1


class AdmissionVerdict(str, Enum):
    """Whether a request got a token, was refused or waits."""

    admitted = 'admitted'
    refused = 'refused'
    waiting = 'waiting'


@dataclass(frozen=True, slots=True)
class BorrowSettings:
    """How many tokens a gateway borrows in advance.

    :param ahead_s: tokens borrowed before they are needed, as seconds of the
        recent demand; 0 borrows for waiting requests only.
    :param floor_tokens: tokens borrowed in advance in addition, while requests
        arrive.
    """

    ahead_s: float = 0
    floor_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Decision:
    """Verdict on a request that had to wait.

    :param ticket: identifies the request.
    """

    ticket: int
    verdict: AdmissionVerdict


@dataclass(frozen=True, slots=True)
class _WaitingRequest:
    ticket: int
    deadline: float


class AdmissionQueue:
    """Admits requests in order of arrival; refuses those that can't be in time.

    The home reports the least time until its bucket has another token. The
    expected wait of a request is that time plus its position in the queue
    divided by the rate; a request for which it exceeds the longest wait is
    refused at once.

    >>> queue = AdmissionQueue(BorrowSettings(), rate=10)
    >>> queue.arrive(1, now=0, max_wait_s=0.2)
    <AdmissionVerdict.waiting: 'waiting'>
    >>> request = queue.plan('a', now=0)
    >>> queue.receive(Loan('a', 1, 0.5, 0, 0), now=0.01)
    (Decision(ticket=1, verdict=<AdmissionVerdict.admitted: 'admitted'>),)
    """

    def __init__(self, settings: BorrowSettings, rate: float) -> None:
        """Start without tokens.

        :param rate: tokens per second that the customer's bucket gains.
        """
        self.token_cache = TokenCache()
        self.rate = rate
        self.next_token_at: float = 0
        self._settings = settings
        self._waiting: deque[_WaitingRequest] = deque()
        self._requested_at: float | None = None
        self._demand: float = 0
        self._last_arrival_at: float = 0

    def arrive(
        self, ticket: int, now: float, max_wait_s: float
    ) -> AdmissionVerdict:
        """Take a token, join the queue or be refused.

        :param ticket: identifies the request in a later decision.
        :param now: monotonic time in seconds.
        :param max_wait_s: longest wait, in seconds.
        """
        self._update_demand(now)
        if not self._waiting and self.token_cache.take(now):
            return AdmissionVerdict.admitted
        position = len(self._waiting)
        if self._estimate_wait(position, now) > max_wait_s:
            return AdmissionVerdict.refused
        self._waiting.append(_WaitingRequest(ticket, now + max_wait_s))
        return AdmissionVerdict.waiting

    def plan(self, loan_id: str, now: float) -> LoanRequest | None:
        """Return the request for tokens to send now, None if none is due.

        At most one request is outstanding at a time.
        """
        if self._requested_at is not None or now < self.next_token_at:
            return None
        missing = len(self._waiting) - self.token_cache.count(now)
        ahead = self._find_borrow_ahead(now)
        is_due = missing > 0 or self.token_cache.count(now) < ahead / 2
        if not is_due:
            return None
        self._requested_at = now
        wanted = min(_MAX_BATCH_TOKENS, max(1, missing + ahead))
        return LoanRequest(loan_id, wanted, self.token_cache.settle(now, ahead))

    def receive(self, loan: Loan, now: float) -> tuple[Decision, ...]:
        """Add the tokens of a loan and decide on the waiting requests."""
        requested_at = self._requested_at
        self._requested_at = None
        if requested_at is not None:
            self.token_cache.put(loan, requested_at)
        pause = max(_MIN_PAUSE_S, loan.retry_after_s)
        self.next_token_at = now if loan.remaining else now + pause
        return self.review(now)

    def note_missing_loan(
        self, now: float, pause_s: float
    ) -> tuple[Decision, ...]:
        """Record that a request for tokens failed; retry after a pause."""
        self._requested_at = None
        self.next_token_at = now + pause_s
        return self.review(now)

    def review(self, now: float) -> tuple[Decision, ...]:
        """Decide on the waiting requests, in order of arrival."""
        decisions = []
        remaining: deque[_WaitingRequest] = deque()
        for request in self._waiting:
            verdict = self._decide(request, len(remaining), now)
            if verdict is AdmissionVerdict.waiting:
                remaining.append(request)
            else:
                decisions.append(Decision(request.ticket, verdict))
        self._waiting = remaining
        return tuple(decisions)

    def forget(self, ticket: int) -> None:
        """Remove a request, such as one whose caller has disconnected."""
        self._waiting = deque(
            request for request in self._waiting if request.ticket != ticket
        )

    def find_wake_time(self) -> float | None:
        """Return when to plan or review next, None if no request waits.

        It is a monotonic time in seconds.
        """
        if not self._waiting:
            return None
        earliest_deadline = min(request.deadline for request in self._waiting)
        if self._requested_at is not None:
            return earliest_deadline
        return min(earliest_deadline, self.next_token_at)

    def is_idle(self, now: float) -> bool:
        """Tell whether this queue has had no demand and may be dropped."""
        is_quiet = now - self._last_arrival_at > _DEMAND_WINDOW_S
        return is_quiet and not self._waiting and self._requested_at is None

    def _decide(
        self, request: _WaitingRequest, position: int, now: float
    ) -> AdmissionVerdict:
        if request.deadline <= now:
            return AdmissionVerdict.refused
        if not position and self.token_cache.take(now):
            return AdmissionVerdict.admitted
        if now + self._estimate_wait(position, now) > request.deadline:
            return AdmissionVerdict.refused
        return AdmissionVerdict.waiting

    def _estimate_wait(self, position: int, now: float) -> float:
        if self._requested_at is not None or self.next_token_at <= now:
            return 0
        first_token_s = self.next_token_at - now
        return first_token_s + position / self.rate

    def _find_borrow_ahead(self, now: float) -> int:
        idle_s = max(0, now - self._last_arrival_at)
        if idle_s > _DEMAND_WINDOW_S:
            return 0
        expected = self._demand * self._settings.ahead_s
        return self._settings.floor_tokens + round(expected)

    def _update_demand(self, now: float) -> None:
        interval_s = now - self._last_arrival_at
        decay = max(0, 1 - interval_s / _DEMAND_WINDOW_S)
        self._demand = self._demand * decay + 1 / _DEMAND_WINDOW_S
        self._last_arrival_at = now
