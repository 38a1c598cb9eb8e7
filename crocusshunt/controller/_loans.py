"""Answers to gateways that borrow admission tokens."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

import msgspec
from result import Err

from crocusshunt.controller._directory import Directory
from crocusshunt.controller._leases import LeaseManager
from crocusshunt.controller._peers import Peers
from crocusshunt.core import Clock, HostIdentity
from crocusshunt.limits import (
    HomeLedger,
    LendingTerm,
    LoanRequest,
    TokenLevel,
    find_shard,
)
from crocusshunt.messages import Body, BorrowTokens, Refusal, TokenLoan
from crocusshunt.routing import Customer, Tables

_TIMEOUT_S = 1
_PERIOD_S = 0.5
_NEWS_PAUSE_S = 0.1
# From the gateway's controller to the home, and on to the holder.
_MAX_HOPS = 2


class LoanHandler:
    """Lends from the ledger of this host, or asks the customer's home."""

    def __init__(
        self,
        identity: HostIdentity,
        tables: Callable[[], Tables],
        leases: LeaseManager,
        directory: Directory,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Start with an empty ledger."""
        self._identity = identity
        self._tables = tables
        self._leases = leases
        self._peers = peers
        self._directory = directory
        self._ledger = HomeLedger(clock)
        self._asked: set[str] = set()
        self._news = asyncio.Event()

    async def answer(self, question: BorrowTokens) -> Body:
        """Return a loan, or why there is none."""
        customer = self._tables().find(Customer, question.customer)
        if customer is None:
            return Refusal('customer-unknown', question.customer)
        if not question.borrower:
            question = msgspec.structs.replace(
                question,
                borrower=self._identity.name,
            )
        shard = find_shard(customer.name)
        tenure = self._leases.find_term(shard)
        if tenure is not None:
            self._inherit(shard, tenure)
            return self._lend(customer, question, tenure)
        return await self._pass_on(shard, question)

    async def run(self) -> None:
        """Look after the rows of leases for ever."""
        while True:
            await self.advance()
            await self._pause()

    async def advance(self) -> None:
        """Advance the rows that concern this host, till one call fails."""
        await self._hand_over(self._leases.find_displaced())
        shards = self._find_shards() | self._asked
        self._asked.clear()
        for wanted in sorted(shards):
            advanced = await self._leases.advance(wanted)
            if isinstance(advanced, Err):
                return

    async def leave(self) -> None:
        """Release all leases before a planned stop."""
        self._directory.leave()
        await self._hand_over(tuple(self._leases.tenancies))

    def measure(
        self, shard: str, tenure: LendingTerm
    ) -> tuple[TokenLevel, ...]:
        """Return what is left of the tokens of a shard's customers."""
        self._inherit(shard, tenure)
        return tuple(
            TokenLevel(
                customer.name,
                self._ledger.measure_transferable(customer, tenure),
            )
            for customer in self._group_customers()[shard]
        )

    async def _pause(self) -> None:
        try:
            await asyncio.wait_for(self._news.wait(), _PERIOD_S)
        except TimeoutError:
            return
        self._news.clear()
        await asyncio.sleep(_NEWS_PAUSE_S)

    async def _hand_over(self, shards: tuple[str, ...]) -> None:
        await asyncio.gather(
            *(self._leases.hand_over(one, self.measure) for one in shards),
        )

    def _find_shards(self) -> set[str]:
        homes = {
            shard
            for shard in self._group_customers()
            if self._directory.find_home(shard) == self._identity.name
        }
        return homes | set(self._leases.tenancies)

    def _group_customers(self) -> defaultdict[str, list[Customer]]:
        groups: defaultdict[str, list[Customer]] = defaultdict(list)
        for customer in self._tables().select(Customer):
            groups[find_shard(customer.name)].append(customer)
        return groups

    def _inherit(self, shard: str, tenure: LendingTerm) -> None:
        levels = self._leases.inherited.pop(shard, ())
        tokens = {level.customer: level.tokens for level in levels}
        if not tokens:
            return
        for customer in self._group_customers()[shard]:
            self._ledger.restore_tokens(
                customer, tokens.get(customer.name, 0), tenure
            )

    def _lend(
        self,
        customer: Customer,
        question: BorrowTokens,
        tenure: LendingTerm,
    ) -> TokenLoan:
        prefix = question.borrower
        settled = tuple(
            replace(one, loan_id=f'{prefix}/{one.loan_id}')
            for one in question.settled
        )
        request = LoanRequest(
            f'{prefix}/{question.loan_id}',
            question.wanted,
            settled,
        )
        loan = self._ledger.lend(customer, request, tenure)
        return TokenLoan(
            loan_id=question.loan_id,
            granted=loan.granted,
            lifetime_s=loan.lifetime_s,
            retry_after_s=loan.retry_after_s,
            remaining=loan.remaining,
            rate=customer.rate,
            burst=customer.burst,
        )

    async def _pass_on(self, shard: str, question: BorrowTokens) -> Body:
        self._asked.add(shard)
        self._news.set()
        target = self._directory.find_home(shard)
        if target == self._identity.name:
            target = self._leases.find_holder(shard)
        if target is None or question.hops >= _MAX_HOPS:
            return Refusal('home-unsettled', question.customer)
        onward = msgspec.structs.replace(question, hops=question.hops + 1)
        answer = await self._peers.ask(target, onward, TokenLoan, _TIMEOUT_S)
        if isinstance(answer, Err):
            error = answer.err_value
            is_silent = error.code == 'peer-timeout'
            self._directory.note_answer(target, is_good=not is_silent)
            return Refusal('home-unreachable', error.describe())
        self._directory.note_answer(target, is_good=True)
        return answer.ok_value
