"""Admission tokens of the gateway."""

import asyncio
from collections import defaultdict

from result import Err, Ok, Result

from crocusshunt.core import Clock, Identifiers
from crocusshunt.delivery import NotRun
from crocusshunt.limits import Wallet
from crocusshunt.messages import BorrowTokens, RequesterPool, TokenLoan

_STATUS_TOO_MANY = 429
_STATUS_UNAVAILABLE = 503
_TIMEOUT_S = 1
_BATCH_TOKENS = 4
_RETRY_S = 1
_PATIENCE_S = 0.5


class Limiter:
    """Takes a token for each request, borrowing batches when it has none."""

    def __init__(
        self,
        controller: str,
        requesters: RequesterPool,
        clock: Clock,
        identifiers: Identifiers,
    ) -> None:
        """Start without tokens.

        :param controller: address of this host's controller.
        """
        self._controller = controller
        self._requesters = requesters
        self._clock = clock
        self._identifiers = identifiers
        self._wallet = Wallet(clock)
        self._locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def take(self, customer: str) -> Result[None, NotRun]:
        """Use a token of a customer, or say when to ask again."""
        if self._wallet.take(customer):
            return Ok(None)
        async with self._locks[customer]:
            if self._wallet.take(customer):
                return Ok(None)
            return await self._borrow_patiently(customer)

    async def _borrow_patiently(self, customer: str) -> Result[None, NotRun]:
        give_up_at = self._clock.monotonic() + _PATIENCE_S
        while True:
            borrowed = await self._borrow(customer)
            if isinstance(borrowed, Ok):
                return borrowed
            pause = borrowed.err_value.retry_after_s or 0
            if self._clock.monotonic() + pause > give_up_at:
                return borrowed
            await asyncio.sleep(pause)

    async def _borrow(self, customer: str) -> Result[None, NotRun]:
        asked_at = self._clock.monotonic()
        question = BorrowTokens(
            self._identifiers.create('loan'),
            customer,
            _BATCH_TOKENS,
        )
        answer = await self._requesters.get(self._controller).ask(
            question,
            TokenLoan,
            _TIMEOUT_S,
        )
        if isinstance(answer, Err):
            return Err(
                NotRun(
                    'limit-unavailable',
                    _STATUS_UNAVAILABLE,
                    answer.err_value.describe(),
                    _RETRY_S,
                ),
            )
        loan = answer.ok_value
        expires_at = asked_at + loan.lifetime_s
        self._wallet.put(customer, loan.granted, expires_at)
        if self._wallet.take(customer):
            return Ok(None)
        return Err(
            NotRun(
                'rate-exceeded',
                _STATUS_TOO_MANY,
                'the customer is over its rate and burst',
                loan.retry_after_s,
            ),
        )
