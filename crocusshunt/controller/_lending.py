"""The parts of a controller that lend tokens."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from crocusshunt.controller._directory import Directory
from crocusshunt.controller._leases import LeaseManager
from crocusshunt.controller._loans import LoanHandler
from crocusshunt.controller._peers import Peers
from crocusshunt.controller._supports import SupportCollector
from crocusshunt.controller._witnessing import WitnessHandler
from crocusshunt.core import Clock, HostIdentity
from crocusshunt.messages import BorrowTokens, Handlers, RenewLeases
from crocusshunt.routing import Tables
from crocusshunt.store import TableStore

_PERIOD_S = 1
_UNSETTLED_PERIOD_S = 0.2


@dataclass(frozen=True, slots=True)
class LendingContext:
    """What lending needs from the rest of the controller.

    :param incarnation: identifies this process.
    :param configured: returns the tables in force.
    """

    identity: HostIdentity
    incarnation: str
    configured: Callable[[], Tables]
    peers: Peers
    tables: TableStore
    clock: Clock


class Lending:
    """Leases, witness and loans of one controller."""

    def __init__(self, context: LendingContext) -> None:
        """Start without leases."""
        self.witness = WitnessHandler(context.tables, context.clock)
        directory = Directory(
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
        self.gatherer = SupportCollector(
            context.identity.name,
            self.leases,
            self.witness,
            context.peers,
            context.clock,
        )
        self.loans = LoanHandler(
            context.identity,
            context.configured,
            self.leases,
            directory,
            context.peers,
            context.clock,
        )

    def register(self, handlers: Handlers) -> None:
        """Register the answers to gateways and to other controllers."""
        handlers.register(BorrowTokens)(self.loans.answer)
        handlers.register(RenewLeases)(self.witness.answer)

    async def run_support_collection(self) -> None:
        """Gather witnesses' support for ever."""
        while True:
            await self.gatherer.gather()
            is_settled = self.gatherer.is_settled()
            await asyncio.sleep(
                _PERIOD_S if is_settled else _UNSETTLED_PERIOD_S,
            )
