"""Admission tokens of the gateway."""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from result import Err, Ok, Result

from crocusshunt.core import Clock, Identifiers
from crocusshunt.gateway._refusals import (
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

_TIMEOUT_S = 1
_PAUSE_S = 0.1
_MIN_PAUSE_S = 0.001
_RATE_PATIENCE_S = 1
_RATE_UNKNOWN = 1
_MAX_QUEUES = 4096


class _Lender(Protocol):
    async def ask(
        self,
        body: BorrowTokens,
        expected: type[TokenLoan],
        timeout_s: float,
    ) -> Result[TokenLoan, TransportError]:
        """Return the answer to a question."""


class Requesters(Protocol):
    """Requesters by address."""

    def get(self, address: str) -> _Lender:
        """Return the requester for an address."""


@dataclass(slots=True)
class _Account:
    queue: AdmissionQueue
    waiting: dict[int, asyncio.Future[AdmissionVerdict]] = field(
        default_factory=dict
    )
    borrower: asyncio.Task[None] | None = None
    last: TokenLoan | None = None
    trouble: str = ''


class Limiter:
    """Takes a token for each request, borrowing batches ahead."""

    def __init__(
        self,
        controller: str,
        requesters: Requesters,
        clock: Clock,
        identifiers: Identifiers,
        settings: BorrowSettings | None = None,
    ) -> None:
        """Start without tokens.

        :param controller: address of this host's controller.
        """
        self._controller = controller
        self._requesters = requesters
        self._clock = clock
        self._identifiers = identifiers
        self._settings = settings or BorrowSettings()
        self._accounts: dict[str, _Account] = {}
        self._tickets = 0

    async def try_take(
        self,
        customer: str,
        patience_s: float,
    ) -> Result[None, LimitError]:
        """Use a token of a customer, with a typed refusal.

        A request above the rate waits a short time only; while no host can
        lend, as during a hand-over, it waits as long as its caller does.

        :param patience_s: longest wait for a token, in seconds.
        """
        give_up_at = self._clock.monotonic() + patience_s
        wait_s = min(patience_s, _RATE_PATIENCE_S)
        while True:
            taken = await self._try_once(customer, wait_s)
            if isinstance(taken, Ok):
                return taken
            now = self._clock.monotonic()
            is_settled = isinstance(taken.err_value, RateExceededError)
            if is_settled or now + wait_s > give_up_at:
                return taken
            await asyncio.sleep(_PAUSE_S)

    async def _try_once(
        self,
        customer: str,
        patience_s: float,
    ) -> Result[None, LimitError]:
        account = self._find(customer)
        self._tickets += 1
        ticket = self._tickets
        now = self._clock.monotonic()
        verdict = account.queue.arrive(ticket, now, patience_s)
        if verdict is AdmissionVerdict.waiting:
            verdict = await self._wait(customer, account, ticket)
        else:
            self._start_borrowing(customer, account)
        if verdict is AdmissionVerdict.admitted:
            return Ok(None)
        return Err(self._describe(account))

    async def _wait(
        self,
        customer: str,
        account: _Account,
        ticket: int,
    ) -> AdmissionVerdict:
        future = asyncio.get_running_loop().create_future()
        account.waiting[ticket] = future
        self._start_borrowing(customer, account)
        try:
            verdict: AdmissionVerdict = await future
        finally:
            account.waiting.pop(ticket, None)
            account.queue.forget(ticket)
        return verdict

    def _start_borrowing(self, customer: str, account: _Account) -> None:
        if account.borrower is None or account.borrower.done():
            account.borrower = asyncio.create_task(
                self._borrow_while_needed(customer, account),
            )

    async def _borrow_while_needed(
        self,
        customer: str,
        account: _Account,
    ) -> None:
        while True:
            now = self._clock.monotonic()
            loan_id = self._identifiers.create('loan')
            request = account.queue.plan(loan_id, now)
            if request is None:
                _resolve(account, account.queue.review(now))
            else:
                await self._borrow(customer, account, request)
            wake_at = account.queue.find_wake_time()
            if wake_at is None:
                return
            pause = wake_at - self._clock.monotonic()
            await asyncio.sleep(max(_MIN_PAUSE_S, pause))

    async def _borrow(
        self,
        customer: str,
        account: _Account,
        request: LoanRequest,
    ) -> None:
        question = BorrowTokens(
            request.loan_id,
            customer,
            request.wanted,
            request.settled,
        )
        requester = self._requesters.get(self._controller)
        answer = await requester.ask(question, TokenLoan, _TIMEOUT_S)
        now = self._clock.monotonic()
        if isinstance(answer, Err):
            account.trouble = answer.err_value.describe()
            _resolve(account, account.queue.note_missing_loan(now, _PAUSE_S))
            return
        account.trouble = ''
        account.last = answer.ok_value
        account.queue.rate = answer.ok_value.rate
        _resolve(account, account.queue.receive(_convert(account.last), now))

    def _find(self, customer: str) -> _Account:
        account = self._accounts.get(customer)
        if account is None:
            self._forget_idle()
            queue = AdmissionQueue(self._settings, _RATE_UNKNOWN)
            account = _Account(queue)
            self._accounts[customer] = account
        return account

    def _forget_idle(self) -> None:
        if len(self._accounts) < _MAX_QUEUES:
            return
        now = self._clock.monotonic()
        self._accounts = {
            customer: account
            for customer, account in self._accounts.items()
            if not account.queue.is_idle(now)
        }

    def _describe(self, account: _Account) -> LimitError:
        last = account.last
        if account.trouble or last is None:
            return LimitUnavailableError(account.trouble or 'no answer yet')
        now = self._clock.monotonic()
        reset_s = max(0, account.queue.next_token_at - now)
        return RateExceededError(last.rate, last.burst, last.remaining, reset_s)


def _resolve(account: _Account, decisions: tuple[Decision, ...]) -> None:
    for decision in decisions:
        future = account.waiting.get(decision.ticket)
        if future is not None and not future.done():
            future.set_result(decision.verdict)


def _convert(loan: TokenLoan) -> Loan:
    return Loan(
        loan.loan_id,
        loan.granted,
        loan.lifetime_s,
        loan.retry_after_s,
        loan.remaining,
    )
