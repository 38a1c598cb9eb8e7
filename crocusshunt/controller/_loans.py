"""Answers to gateways that borrow admission tokens."""

from result import Err

from crocusshunt.membership import HostTable
from crocusshunt.core import Clock, HostIdentity, rank_by_rendezvous
from crocusshunt.limits import LOAN_LIFETIME_S, HomeLedger, LoanRequest
from crocusshunt.messages import (
    Body,
    BorrowTokens,
    Refusal,
    RequesterPool,
    TokenLoan,
)
from crocusshunt.replication import Feed
from crocusshunt.routing import Customer

_TIMEOUT_S = 1


class LoanDesk:
    """Lends from the ledger of this host, or asks the customer's home."""

    def __init__(
        self,
        identity: HostIdentity,
        feed: Feed,
        hosts: HostTable,
        requesters: RequesterPool,
        clock: Clock,
    ) -> None:
        """Start with an empty ledger."""
        self._identity = identity
        self._feed = feed
        self._hosts = hosts
        self._requesters = requesters
        self._ledger = HomeLedger(clock)

    async def answer(self, question: BorrowTokens) -> Body:
        """Return a loan, or why there is none."""
        tables = self._feed.configuration.tables
        customer = tables.find(Customer, question.customer)
        if customer is None:
            return Refusal('customer-unknown', question.customer)
        by_name = {host.name: host for host in self._hosts.find_live()}
        if not by_name:
            return Refusal('hosts-unknown')
        home = rank_by_rendezvous(customer.name, by_name)[0]
        if home == self._identity.name:
            return self._lend(customer, question)
        return await self._forward(by_name[home].controller, question)

    def _lend(self, customer: Customer, question: BorrowTokens) -> TokenLoan:
        request = LoanRequest(question.loan_id, question.wanted)
        loan = self._ledger.lend(customer, request)
        return TokenLoan(
            loan_id=question.loan_id,
            granted=loan.granted,
            lifetime_s=LOAN_LIFETIME_S,
            retry_after_s=loan.retry_after_s,
        )

    async def _forward(self, address: str, question: BorrowTokens) -> Body:
        answer = await self._requesters.get(address).exchange(
            question,
            _TIMEOUT_S,
        )
        if isinstance(answer, Err):
            return Refusal('home-unreachable', answer.err_value.describe())
        return answer.ok_value
