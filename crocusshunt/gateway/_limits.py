"""Rate limiting per customer with tokens borrowed from the controller."""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from result import Err, Ok, Result

from crocusshunt.core import Clock, IdentifierGenerator
from crocusshunt.gateway._limit_errors import (
    LimitError,
    LimitUnavailableError,
    RateExceededError,
)
from crocusshunt.limits import (
    AdmissionQueue,
    AdmissionVerdict,
    BorrowSettings,
    Decision,
    Loan,
    LoanRequest,
)
from crocusshunt.messages import BorrowTokens, TokenLoan, TransportError

_ANSWER_TIMEOUT_S = 1
_RETRY_PERIOD_S = 0.1
_MIN_PAUSE_S = 0.001
_MAX_RATE_WAIT_S = 1
# Tokens per second assumed until the first loan tells the real rate.
_INITIAL_RATE = 1
# Number of customers from which idle ones are forgotten.
_MAX_CUSTOMERS = 4096


class _Requester(Protocol):
    async def ask(
        self,
        body: BorrowTokens,
        expected: type[TokenLoan],
        timeout_s: float,
    ) -> Result[TokenLoan, TransportError]:
        """Send a request and return its answer.

        :param timeout_s: longest wait for the answer, in seconds.
        """


class Requesters(Protocol):
    """Message clients by address, such as a pool of connections."""

    def get(self, address: str) -> _Requester:
        """Return the message client for an address."""


@dataclass(slots=True)
class _CustomerState:
    queue: AdmissionQueue
    waiting: dict[int, asyncio.Future[AdmissionVerdict]] = field(
        default_factory=dict
    )
    borrow_task: asyncio.Task[None] | None = None
    last_loan: TokenLoan | None = None
    last_error: str = ''


class Limiter:
    """Admits each request with a token of its customer's token bucket.

    The tokens are borrowed from the controller in batches, by one
    background task per customer that ends when no request waits.
    """

    def __init__(
        self,
        controller: str,
        requesters: Requesters,
        clock: Clock,
        identifiers: IdentifierGenerator,
        settings: BorrowSettings | None = None,
    ) -> None:
        """Start without tokens.

        :param controller: address of this host's controller.
        :param requesters: message clients that reach the controller.
        :param settings: how many tokens are borrowed in advance.
        """
        self._controller = controller
        self._requesters = requesters
        self._clock = clock
        self._identifiers = identifiers
        self._settings = settings or BorrowSettings()
        self._customers: dict[str, _CustomerState] = {}
        self._tickets = 0

    async def try_take(
        self,
        customer: str,
        max_wait_s: float,
    ) -> Result[None, LimitError]:
        """Take a token of a customer, or return why there is none.

        A request above the customer's rate waits 1 s at most. While no
        host can lend tokens, as when the right to lend them passes from
        one host to another, the request is tried again for up to
        ``max_wait_s``.

        :param max_wait_s: longest wait for a token, in seconds.
        """
        give_up_at = self._clock.monotonic() + max_wait_s
        wait_s = min(max_wait_s, _MAX_RATE_WAIT_S)
        while True:
            taken = await self._try_once(customer, wait_s)
            if isinstance(taken, Ok):
                return taken
            now = self._clock.monotonic()
            is_over_rate = isinstance(taken.err_value, RateExceededError)
            if is_over_rate or now + wait_s > give_up_at:
                return taken
            await asyncio.sleep(_RETRY_PERIOD_S)

    async def _try_once(
        self,
        customer: str,
        max_wait_s: float,
    ) -> Result[None, LimitError]:
        state = self._find_or_create(customer)
        self._tickets += 1
        ticket = self._tickets
        now = self._clock.monotonic()
        verdict = state.queue.arrive(ticket, now, max_wait_s)
        if verdict is AdmissionVerdict.waiting:
            verdict = await self._wait(customer, state, ticket)
        else:
            self._start_borrowing(customer, state)
        if verdict is AdmissionVerdict.admitted:
            return Ok(None)
        return Err(self._create_error(state))

    async def _wait(
        self,
        customer: str,
        state: _CustomerState,
        ticket: int,
    ) -> AdmissionVerdict:
        future = asyncio.get_running_loop().create_future()
        state.waiting[ticket] = future
        self._start_borrowing(customer, state)
        try:
            verdict: AdmissionVerdict = await future
        finally:
            state.waiting.pop(ticket, None)
            state.queue.forget(ticket)
        return verdict

    def _start_borrowing(self, customer: str, state: _CustomerState) -> None:
        if state.borrow_task is None or state.borrow_task.done():
            state.borrow_task = asyncio.create_task(
                self._borrow_while_needed(customer, state),
            )

    async def _borrow_while_needed(
        self,
        customer: str,
        state: _CustomerState,
    ) -> None:
        while True:
            now = self._clock.monotonic()
            loan_id = self._identifiers.create('loan')
            request = state.queue.plan(loan_id, now)
            if request is None:
                _resolve_futures(state, state.queue.review(now))
            else:
                await self._borrow(customer, state, request)
            wake_at = state.queue.find_wake_time()
            if wake_at is None:
                return
            pause = wake_at - self._clock.monotonic()
            await asyncio.sleep(max(_MIN_PAUSE_S, pause))

    async def _borrow(
        self,
        customer: str,
        state: _CustomerState,
        request: LoanRequest,
    ) -> None:
        question = BorrowTokens(
            request.loan_id,
            customer,
            request.wanted,
            request.settled,
        )
        requester = self._requesters.get(self._controller)
        answer = await requester.ask(question, TokenLoan, _ANSWER_TIMEOUT_S)
        now = self._clock.monotonic()
        if isinstance(answer, Err):
            state.last_error = answer.err_value.describe()
            _resolve_futures(
                state, state.queue.note_missing_loan(now, _RETRY_PERIOD_S)
            )
            return
        state.last_error = ''
        state.last_loan = answer.ok_value
        state.queue.rate = answer.ok_value.rate
        _resolve_futures(
            state, state.queue.receive(_convert_loan(state.last_loan), now)
        )

    def _find_or_create(self, customer: str) -> _CustomerState:
        state = self._customers.get(customer)
        if state is None:
            self._remove_idle()
            queue = AdmissionQueue(self._settings, _INITIAL_RATE)
            state = _CustomerState(queue)
            self._customers[customer] = state
        return state

    def _remove_idle(self) -> None:
        if len(self._customers) < _MAX_CUSTOMERS:
            return
        now = self._clock.monotonic()
        self._customers = {
            customer: state
            for customer, state in self._customers.items()
            if not state.queue.is_idle(now)
        }

    def _create_error(self, state: _CustomerState) -> LimitError:
        last_loan = state.last_loan
        if state.last_error or last_loan is None:
            return LimitUnavailableError(state.last_error or 'no answer yet')
        now = self._clock.monotonic()
        reset_s = max(0, state.queue.next_token_at - now)
        return RateExceededError(
            last_loan.rate, last_loan.burst, last_loan.remaining, reset_s
        )


def _resolve_futures(
    state: _CustomerState, decisions: tuple[Decision, ...]
) -> None:
    for decision in decisions:
        future = state.waiting.get(decision.ticket)
        if future is not None and not future.done():
            future.set_result(decision.verdict)


def _convert_loan(loan: TokenLoan) -> Loan:
    return Loan(
        loan.loan_id,
        loan.granted,
        loan.lifetime_s,
        loan.retry_after_s,
        loan.remaining,
    )
