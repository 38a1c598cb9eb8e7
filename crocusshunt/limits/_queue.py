"""Requests of one customer that wait for tokens at a gateway."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from crocusshunt.limits._ledger import Loan, LoanRequest
from crocusshunt.limits._token_cache import TokenCache

_MAX_BATCH_TOKENS = 64
_MIN_PAUSE_S = 0.01
_DEMAND_MEMORY_S = 1


class AdmissionVerdict(str, Enum):
    """What becomes of a request that wants a token."""

    admitted = 'admitted'
    refused = 'refused'
    waiting = 'waiting'


@dataclass(frozen=True, slots=True)
class BorrowSettings:
    """How a gateway borrows.

    :param ahead_s: tokens borrowed before they are needed, as seconds of
        the demand seen; 0 borrows only for requests that wait.
    :param floor_tokens: tokens always borrowed besides.
    """

    ahead_s: float = 0
    floor_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Decision:
    """Verdict on a request that had to wait."""

    ticket: int
    verdict: AdmissionVerdict


@dataclass(frozen=True, slots=True)
class _Waiter:
    ticket: int
    give_up_at: float


class AdmissionQueue:
    """Admits in order of arrival, and refuses at once what waits in vain.

    The home says when the next token is there at the soonest. A request whose
    place in the queue needs more time than its caller has is refused at once.

    >>> queue = AdmissionQueue(BorrowSettings(), rate=10)
    >>> queue.arrive(1, now=0, patience_s=0.2)
    <AdmissionVerdict.waiting: 'waiting'>
    >>> request = queue.plan('a', now=0)
    >>> queue.receive(Loan('a', 1, 0.5, 0, 0), now=0.01)
    (Decision(ticket=1, verdict=<AdmissionVerdict.admitted: 'admitted'>),)
    """

    def __init__(self, settings: BorrowSettings, rate: float) -> None:
        """Start without tokens.

        :param rate: tokens a second that the customer gains.
        """
        self.token_cache = TokenCache()
        self.rate = rate
        self.next_token_at: float = 0
        self._settings = settings
        self._waiters: deque[_Waiter] = deque()
        self._asked_at: float | None = None
        self._demand: float = 0
        self._arrived_at: float = 0

    def arrive(
        self, ticket: int, now: float, patience_s: float
    ) -> AdmissionVerdict:
        """Take a token, join the queue or be refused.

        :param ticket: identifies the request in a later decision.
        :param now: monotonic time in seconds.
        :param patience_s: longest wait, in seconds.
        """
        self._count_demand(now)
        if not self._waiters and self.token_cache.take(now):
            return AdmissionVerdict.admitted
        position = len(self._waiters)
        if self._estimate(position, now) > patience_s:
            return AdmissionVerdict.refused
        self._waiters.append(_Waiter(ticket, now + patience_s))
        return AdmissionVerdict.waiting

    def plan(self, loan_id: str, now: float) -> LoanRequest | None:
        """Return the request for tokens to send now, if any is due."""
        if self._asked_at is not None or now < self.next_token_at:
            return None
        missing = len(self._waiters) - self.token_cache.count(now)
        ahead = self._find_ahead(now)
        is_due = missing > 0 or self.token_cache.count(now) < ahead / 2
        if not is_due:
            return None
        self._asked_at = now
        wanted = min(_MAX_BATCH_TOKENS, max(1, missing + ahead))
        return LoanRequest(loan_id, wanted, self.token_cache.settle(now, ahead))

    def receive(self, loan: Loan, now: float) -> tuple[Decision, ...]:
        """Take in a loan and decide on those who wait."""
        asked_at = self._asked_at
        self._asked_at = None
        if asked_at is not None:
            self.token_cache.put(loan, asked_at)
        pause = max(_MIN_PAUSE_S, loan.retry_after_s)
        self.next_token_at = now if loan.remaining else now + pause
        return self.review(now)

    def note_missing_loan(
        self, now: float, pause_s: float
    ) -> tuple[Decision, ...]:
        """Note that no loan came, and ask again after a pause."""
        self._asked_at = None
        self.next_token_at = now + pause_s
        return self.review(now)

    def review(self, now: float) -> tuple[Decision, ...]:
        """Decide on those who wait, first come first served."""
        decisions = []
        remaining: deque[_Waiter] = deque()
        for waiter in self._waiters:
            verdict = self._judge(waiter, len(remaining), now)
            if verdict is AdmissionVerdict.waiting:
                remaining.append(waiter)
            else:
                decisions.append(Decision(waiter.ticket, verdict))
        self._waiters = remaining
        return tuple(decisions)

    def forget(self, ticket: int) -> None:
        """Drop a request whose caller is gone."""
        self._waiters = deque(
            waiter for waiter in self._waiters if waiter.ticket != ticket
        )

    def find_wake_time(self) -> float | None:
        """Return when to plan or review next, None if nobody waits."""
        if not self._waiters:
            return None
        patience_end = min(waiter.give_up_at for waiter in self._waiters)
        if self._asked_at is not None:
            return patience_end
        return min(patience_end, self.next_token_at)

    def is_idle(self, now: float) -> bool:
        """Tell whether nothing is lost by forgetting this queue."""
        is_quiet = now - self._arrived_at > _DEMAND_MEMORY_S
        return is_quiet and not self._waiters and self._asked_at is None

    def _judge(
        self, waiter: _Waiter, position: int, now: float
    ) -> AdmissionVerdict:
        if waiter.give_up_at <= now:
            return AdmissionVerdict.refused
        if not position and self.token_cache.take(now):
            return AdmissionVerdict.admitted
        if now + self._estimate(position, now) > waiter.give_up_at:
            return AdmissionVerdict.refused
        return AdmissionVerdict.waiting

    def _estimate(self, position: int, now: float) -> float:
        if self._asked_at is not None or self.next_token_at <= now:
            return 0
        first = self.next_token_at - now
        return first + position / self.rate

    def _find_ahead(self, now: float) -> int:
        quiet = max(0, now - self._arrived_at)
        if quiet > _DEMAND_MEMORY_S:
            return 0
        expected = self._demand * self._settings.ahead_s
        return self._settings.floor_tokens + round(expected)

    def _count_demand(self, now: float) -> None:
        gap = now - self._arrived_at
        faded = max(0, 1 - gap / _DEMAND_MEMORY_S)
        self._demand = self._demand * faded + 1 / _DEMAND_MEMORY_S
        self._arrived_at = now
