"""Assembly of the parts of a controller that lend admission tokens."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from crocusshunt.controller._leases import LeaseManager
from crocusshunt.controller._loans import LoanHandler
from crocusshunt.controller._peers import Peers
from crocusshunt.controller._shard_directory import ShardDirectory
from crocusshunt.controller._supports import SupportCollector
from crocusshunt.controller._witness_handler import WitnessHandler
from crocusshunt.core import Clock, HostIdentity
from crocusshunt.messages import BorrowTokens, Handlers, RenewLeases
from crocusshunt.routing import Tables
from crocusshunt.store import TableStore

_SUPPORT_PERIOD_S = 1
_UNSETTLED_SUPPORT_PERIOD_S = 0.2


@dataclass(frozen=True, slots=True)
class LendingContext:
    """What lending needs from the rest of the controller.

    :param incarnation: identifies this process.
    :param get_tables: returns the tables of the configuration in force.
    :param tables: the table service that stores the leases.
    """

    identity: HostIdentity
    incarnation: str
    get_tables: Callable[[], Tables]
    peers: Peers
    tables: TableStore
    clock: Clock


class Lending:
    """Lends the tokens of customers from one controller.

    :ivar witness_handler: supports the leases of other hosts.
    :ivar leases: the leases that this host holds.
    :ivar support_collector: asks the witnesses of these leases for support.
    :ivar loans: answers gateways that borrow tokens.
    """

    def __init__(self, context: LendingContext) -> None:
        """Start without leases."""
        self.witness_handler = WitnessHandler(context.tables, context.clock)
        directory = ShardDirectory(
            context.identity.name,
            context.peers,
            context.clock,
        )
        self.leases = LeaseManager(
            context.identity,
            context.incarnation,
            directory,
            context.tables,
            context.clock,
        )
        self.support_collector = SupportCollector(
            context.identity.name,
            self.leases,
            self.witness_handler,
            context.peers,
            context.clock,
        )
        self.loans = LoanHandler(
            context.identity,
            context.get_tables,
            self.leases,
            directory,
            context.peers,
            context.clock,
        )

    def register(self, handlers: Handlers) -> None:
        """Register the handlers of messages from gateways and controllers."""
        handlers.register(BorrowTokens)(self.loans.answer)
        handlers.register(RenewLeases)(self.witness_handler.answer)

    async def run_support_collection(self) -> None:
        """Collect the support of witnesses for ever.

        Until all leases are supported, witnesses are asked more often.
        """
        while True:
            await self.support_collector.collect_support()
            has_all_support = self.support_collector.has_all_support()
            await asyncio.sleep(
                _SUPPORT_PERIOD_S
                if has_all_support
                else _UNSETTLED_SUPPORT_PERIOD_S,
            )
