"""Rate-limit tokens of customers, local or from the host that keeps them."""

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
_REPLY_TIMEOUT_S = 0.03
_MAX_ATTEMPTS = 2
# A keeper that did not reply gets no requests for this long.
_SILENT_KEEPER_PAUSE_S = 0.5

Send = Callable[[Message, str], None]


@dataclass(slots=True)
class TokenService:
    """Takes tokens for this host's requests, and grants them to other hosts.

    A customer's tokens are in a bucket of this host, or of one host of the
    region, the keeper. Demand is counted at the host whose bucket is used, so
    other hosts need not report demand of customers whose tokens the keeper
    holds.

    While the keeper of a customer's tokens does not reply, the host uses a
    fallback bucket with an equal share of the region's rate, which starts
    empty.

    :param send: sends a message to a host by its name.
    """

    limits: SharedLimits
    clock: Clock
    send: Send
    _number: int = 0
    _pending_replies: dict[int, asyncio.Future[TokenReply]] = field(
        default_factory=dict,
    )
    _silent_until: dict[str, float] = field(default_factory=dict)
    _fallback: CustomerLimiter = field(default_factory=CustomerLimiter)

    async def take(self, rule: CustomerRule, max_wait_s: float) -> Grant:
        """Take a token of a customer, or return when there will be one.

        :param max_wait_s: longest wait for a token, in seconds.
        """
        if rule.rate <= 0:
            return Grant(is_granted=True, wait_s=0)
        customer = rule.name
        now = self.clock.monotonic()
        if customer not in self.limits.shares:
            # The configuration that limits it arrived after the last division.
            self.limits.divide(now, is_ready=False)
        share = self.limits.shares[customer]
        if self._is_kept_here(share):
            return self._take_here(customer, now, max_wait_s)
        reply = await self._request_token(share.keeper, customer, max_wait_s)
        if reply is not None and reply.keeper != reply.name:
            reply = await self._request_token(
                reply.keeper, customer, max_wait_s
            )
        if reply is None or reply.keeper != reply.name:
            return self._take_fallback(customer, share, max_wait_s)
        self._fallback.release(customer)
        return Grant(reply.is_granted, reply.wait_s)

    def put_back(self, customer: str) -> None:
        """Return the token of a request that was not sent.

        A token of another host's bucket is not returned to it.
        """
        self.limits.customers.put_back(customer)

    def handle_request(self, request: TokenRequest) -> None:
        """Grant a token to another host, or name the keeper to it."""
        own = self.limits.own_name
        share = self.limits.shares.get(request.customer)
        if share is None or share.keeper != own:
            keeper = '' if share is None else share.keeper
            reply = TokenReply(own, request.number, keeper)
        else:
            now = self.clock.monotonic()
            grant = self._take_here(request.customer, now, request.patience_s)
            reply = TokenReply(
                own,
                request.number,
                own,
                grant.is_granted,
                grant.wait_s,
            )
        self.send(reply, request.name)

    def handle_reply(self, reply: TokenReply) -> None:
        """Deliver a reply to its waiting request; late replies are ignored."""
        waiter = self._pending_replies.pop(reply.number, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(reply)

    def _is_kept_here(self, share: CustomerShare) -> bool:
        return share.keeper in {'', self.limits.own_name}

    async def _request_token(
        self,
        keeper: str,
        customer: str,
        max_wait_s: float,
    ) -> TokenReply | None:
        """Request a token from a host; return None if it does not reply."""
        now = self.clock.monotonic()
        if not keeper or now < self._silent_until.get(keeper, 0):
            return None
        own = self.limits.own_name
        reply = None
        attempts = 0
        while reply is None and attempts < _MAX_ATTEMPTS:
            attempts += 1
            self._number += 1
            request = TokenRequest(own, self._number, customer, max_wait_s)
            reply = await self._send_request(request, keeper)
        if reply is not None:
            return reply
        self._silent_until[keeper] = (
            self.clock.monotonic() + _SILENT_KEEPER_PAUSE_S
        )
        log_event('keeper silent', keeper=keeper, customer=customer)
        return None

    async def _send_request(
        self, request: TokenRequest, keeper: str
    ) -> TokenReply | None:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[TokenReply] = loop.create_future()
        self._pending_replies[request.number] = waiter
        self.send(request, keeper)
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_S):
                return await waiter
        except TimeoutError:
            return None
        finally:
            self._pending_replies.pop(request.number, None)

    def _take_here(
        self,
        customer: str,
        now: float,
        max_wait_s: float,
    ) -> Grant:
        self.limits.demand.count(customer, now)
        return self.limits.customers.take(customer, now, max_wait_s)

    def _take_fallback(
        self,
        customer: str,
        share: CustomerShare,
        max_wait_s: float,
    ) -> Grant:
        now = self.clock.monotonic()
        self.limits.demand.count(customer, now)
        self._fallback.resize(customer, share.rate, share.burst, now)
        return self._fallback.take(customer, now, max_wait_s)
