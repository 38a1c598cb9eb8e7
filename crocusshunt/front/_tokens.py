"""Tokens of customers: taken here, or at the host that keeps them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from crocusshunt.catalog import CustomerRule
from crocusshunt.core import Clock
from crocusshunt.fleet import Message, TokenReply, TokenRequest
from crocusshunt.front._limits import SharedLimits
from crocusshunt.logs import log_event
from crocusshunt.sharing import CustomerLimiter, CustomerShare, Grant

# Well above a round trip within a region.
_ANSWER_WAIT_S = 0.03
_SENDINGS = 2
# A keeper that did not answer is not asked again for this long.
_SILENT_S = 0.5

Send = Callable[[Message, str], None]


@dataclass(slots=True)
class TokenDesk:
    """Takes tokens for this host's requests, and gives them to other hosts.

    Demand is counted where tokens are taken, so that hosts need not tell each
    other of customers whose tokens another one keeps.

    While the keeper of a customer's tokens does not answer, the host lives
    on an equal part of the region's, beginning without any.

    :param send: sends a message to a host by its name.
    """

    limits: SharedLimits
    clock: Clock
    send: Send
    _number: int = 0
    _waiting: dict[int, asyncio.Future[TokenReply]] = field(
        default_factory=dict,
    )
    _silent_until: dict[str, float] = field(default_factory=dict)
    _spare: CustomerLimiter = field(default_factory=CustomerLimiter)

    async def take(self, rule: CustomerRule, patience_s: float) -> Grant:
        """Take a token of a customer, or learn when there is one.

        :param patience_s: longest wait for a token, in seconds.
        """
        if rule.rate <= 0:
            return Grant(is_granted=True, wait_s=0)
        customer = rule.name
        now = self.clock.monotonic()
        if customer not in self.limits.parts:
            # Its limit came with a configuration since the last division.
            self.limits.divide(now, is_ready=False)
        part = self.limits.parts[customer]
        if self._is_kept_here(part):
            return self._take_here(customer, now, patience_s)
        granted = await self._ask(part.keeper, customer, patience_s)
        if granted is not None and granted.keeper != granted.name:
            granted = await self._ask(granted.keeper, customer, patience_s)
        if granted is None or granted.keeper != granted.name:
            return self._take_spare(customer, part, patience_s)
        self._spare.release(customer)
        return Grant(granted.is_granted, granted.wait_s)

    def put_back(self, customer: str) -> None:
        """Return the token of a request that was not sent.

        A token from another host is not returned; it is lost.
        """
        self.limits.customers.put_back(customer)

    def answer(self, ask: TokenRequest) -> None:
        """Give a token to another host, or tell it who keeps them."""
        own = self.limits.own_name
        part = self.limits.parts.get(ask.customer)
        if part is None or part.keeper != own:
            keeper = '' if part is None else part.keeper
            reply = TokenReply(own, ask.number, keeper)
        else:
            now = self.clock.monotonic()
            grant = self._take_here(ask.customer, now, ask.patience_s)
            reply = TokenReply(
                own,
                ask.number,
                own,
                grant.is_granted,
                grant.wait_s,
            )
        self.send(reply, ask.name)

    def receive(self, granted: TokenReply) -> None:
        """Take the answer to an ask; one that came before is passed over."""
        waiter = self._waiting.pop(granted.number, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(granted)

    def _is_kept_here(self, part: CustomerShare) -> bool:
        return part.keeper in {'', self.limits.own_name}

    async def _ask(
        self,
        keeper: str,
        customer: str,
        patience_s: float,
    ) -> TokenReply | None:
        """Return the answer of a host, None if it gives none."""
        now = self.clock.monotonic()
        if not keeper or now < self._silent_until.get(keeper, 0):
            return None
        own = self.limits.own_name
        granted = None
        sendings = 0
        while granted is None and sendings < _SENDINGS:
            sendings += 1
            self._number += 1
            ask = TokenRequest(own, self._number, customer, patience_s)
            granted = await self._send_ask(ask, keeper)
        if granted is not None:
            return granted
        self._silent_until[keeper] = self.clock.monotonic() + _SILENT_S
        log_event('keeper silent', keeper=keeper, customer=customer)
        return None

    async def _send_ask(
        self, ask: TokenRequest, keeper: str
    ) -> TokenReply | None:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[TokenReply] = loop.create_future()
        self._waiting[ask.number] = waiter
        self.send(ask, keeper)
        try:
            async with asyncio.timeout(_ANSWER_WAIT_S):
                return await waiter
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(ask.number, None)

    def _take_here(
        self,
        customer: str,
        now: float,
        patience_s: float,
    ) -> Grant:
        self.limits.demand.count(customer, now)
        return self.limits.customers.take(customer, now, patience_s)

    def _take_spare(
        self,
        customer: str,
        part: CustomerShare,
        patience_s: float,
    ) -> Grant:
        now = self.clock.monotonic()
        self.limits.demand.count(customer, now)
        self._spare.resize(customer, part.rate, part.burst, now)
        return self._spare.take(customer, now, patience_s)
