"""Answers to gateways that borrow admission tokens."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

import msgspec
from result import Err

from crocusshunt.controller._leases import LeaseManager
from crocusshunt.controller._peers import Peers
from crocusshunt.controller._shard_directory import ShardDirectory
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

_FORWARD_TIMEOUT_S = 1
_MAINTENANCE_PERIOD_S = 0.5
_WAKE_UP_DELAY_S = 0.1
# A request goes from the gateway's controller to the home host, and from
# there to the holder of the lease.
_MAX_HOPS = 2


class LoanHandler:
    """Lends tokens from this host's ledger or asks the customer's home host.

    It also maintains the leases of the shards that this host is the home of.

    :ivar _requested_shards: shards of requests that this host could not answer
        itself; their rows are read in the next round of maintenance.
    :ivar _wake_up: set to start that round early.
    """

    def __init__(
        self,
        identity: HostIdentity,
        get_tables: Callable[[], Tables],
        leases: LeaseManager,
        directory: ShardDirectory,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Start with an empty ledger.

        :param get_tables: returns the tables of the configuration in force.
        """
        self._identity = identity
        self._get_tables = get_tables
        self._leases = leases
        self._peers = peers
        self._directory = directory
        self._ledger = HomeLedger(clock)
        self._requested_shards: set[str] = set()
        self._wake_up = asyncio.Event()

    async def answer(self, request: BorrowTokens) -> Body:
        """Return a loan, or a refusal that says why there is none.

        If this host holds the lease of the customer's shard, it lends itself;
        otherwise it forwards the request.
        """
        customer = self._get_tables().find(Customer, request.customer)
        if customer is None:
            return Refusal('customer-unknown', request.customer)
        if not request.borrower:
            request = msgspec.structs.replace(
                request,
                borrower=self._identity.name,
            )
        shard = find_shard(customer.name)
        term = self._leases.find_term(shard)
        if term is not None:
            self._restore_inherited(shard, term)
            return self._lend(customer, request, term)
        return await self._forward(shard, request)

    async def run(self) -> None:
        """Maintain the leases for ever."""
        while True:
            await self.maintain_leases()
            await self._wait_for_next_round()

    async def maintain_leases(self) -> None:
        """Hand over and maintain the leases that concern this host.

        Maintenance ends for this round at the first call that fails.
        """
        await self._hand_over(self._leases.find_displaced())
        shards = self._find_own_shards() | self._requested_shards
        self._requested_shards.clear()
        for shard in sorted(shards):
            maintained = await self._leases.maintain(shard)
            if isinstance(maintained, Err):
                return

    async def release_all(self) -> None:
        """Release all leases before a planned stop."""
        self._directory.exclude_own_host()
        await self._hand_over(tuple(self._leases.held_leases))

    def measure_levels(
        self, shard: str, term: LendingTerm
    ) -> tuple[TokenLevel, ...]:
        """Return the tokens left to each customer of a shard."""
        self._restore_inherited(shard, term)
        return tuple(
            TokenLevel(
                customer.name,
                self._ledger.measure_transferable(customer, term),
            )
            for customer in self._group_customers()[shard]
        )

    async def _wait_for_next_round(self) -> None:
        try:
            await asyncio.wait_for(self._wake_up.wait(), _MAINTENANCE_PERIOD_S)
        except TimeoutError:
            return
        self._wake_up.clear()
        await asyncio.sleep(_WAKE_UP_DELAY_S)

    async def _hand_over(self, shards: tuple[str, ...]) -> None:
        await asyncio.gather(
            *(
                self._leases.hand_over(shard, self.measure_levels)
                for shard in shards
            ),
        )

    def _find_own_shards(self) -> set[str]:
        home_shards = {
            shard
            for shard in self._group_customers()
            if self._directory.find_home(shard) == self._identity.name
        }
        return home_shards | set(self._leases.held_leases)

    def _group_customers(self) -> defaultdict[str, list[Customer]]:
        groups: defaultdict[str, list[Customer]] = defaultdict(list)
        for customer in self._get_tables().select(Customer):
            groups[find_shard(customer.name)].append(customer)
        return groups

    def _restore_inherited(self, shard: str, term: LendingTerm) -> None:
        """Put the tokens that the previous holder left into the ledger."""
        levels = self._leases.inherited_levels.pop(shard, ())
        tokens = {level.customer: level.tokens for level in levels}
        if not tokens:
            return
        for customer in self._group_customers()[shard]:
            self._ledger.restore_tokens(
                customer, tokens.get(customer.name, 0), term
            )

    def _lend(
        self,
        customer: Customer,
        request: BorrowTokens,
        term: LendingTerm,
    ) -> TokenLoan:
        prefix = request.borrower
        settled = tuple(
            replace(settlement, loan_id=f'{prefix}/{settlement.loan_id}')
            for settlement in request.settled
        )
        loan_request = LoanRequest(
            f'{prefix}/{request.loan_id}',
            request.wanted,
            settled,
        )
        loan = self._ledger.lend(customer, loan_request, term)
        return TokenLoan(
            loan_id=request.loan_id,
            granted=loan.granted,
            lifetime_s=loan.lifetime_s,
            retry_after_s=loan.retry_after_s,
            remaining=loan.remaining,
            rate=customer.rate,
            burst=customer.burst,
        )

    async def _forward(self, shard: str, request: BorrowTokens) -> Body:
        """Ask the home host, or the holder if this host is the home."""
        self._requested_shards.add(shard)
        self._wake_up.set()
        target = self._directory.find_home(shard)
        if target == self._identity.name:
            target = self._leases.find_holder(shard)
        if target is None or request.hops >= _MAX_HOPS:
            return Refusal('home-unsettled', request.customer)
        forwarded = msgspec.structs.replace(request, hops=request.hops + 1)
        answer = await self._peers.ask(
            target, forwarded, TokenLoan, _FORWARD_TIMEOUT_S
        )
        if isinstance(answer, Err):
            error = answer.err_value
            has_timed_out = error.code == 'peer-timeout'
            self._directory.record_answer(
                target, has_answered=not has_timed_out
            )
            return Refusal('home-unreachable', error.describe())
        self._directory.record_answer(target, has_answered=True)
        return answer.ok_value
