"""Rate-limit tokens of customers, local or from the host that keeps them."""

import asyncio
from dataclasses import dataclass, field

from crocusshunt.catalog import CustomerRule
from crocusshunt.core import Clock
from crocusshunt.fleet import (
    Heartbeat,
    TokenReply,
    TokenRequest,
)
from crocusshunt.front._borrowing import Borrowing
from crocusshunt.front._lending import Lending, Send
from crocusshunt.front._limits import SharedLimits
from crocusshunt.logs import log_event
from crocusshunt.services import wait_in_time
from crocusshunt.sharing import CustomerShare, Grant

# Well above a round trip within a region.
_REPLY_TIMEOUT_S = 0.03
_MAX_ATTEMPTS = 2
# A keeper that did not reply gets no requests for this long while this host can
# use its own part, and for a shorter time while the keeper has it.
_SILENT_KEEPER_PAUSE_S = 0.5
_LENT_PAUSE_S = 0.1


@dataclass(slots=True)
class TokenService:
    """Takes tokens for this host's requests, and grants them to other hosts.

    A customer's tokens are in a bucket of this host, or of one host of the
    region, the keeper, to which the others lend their parts. Demand is counted
    at the host whose bucket is used, so other hosts need not report demand of
    customers whose tokens the keeper holds.

    While the keeper of a customer's tokens does not reply, the host lends it
    its part no longer. Once the lease has ended, it uses its part itself, from
    a fallback bucket that starts empty. So no token is in two buckets, even if
    the keeper is alive and hands out tokens to others.

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
    lending: Lending = field(init=False)
    borrowing: Borrowing = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts that lend and borrow."""
        self.lending = Lending(self.limits, self.clock, self.send)
        self.borrowing = Borrowing(self.limits, self.clock, self.send)

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
            self.limits.divide(now, is_ready=self.limits.is_ready)
        share = self.limits.shares[customer]
        if self._is_kept_here(share):
            return self._take_here(customer, now, max_wait_s)
        reply = await self._request_token(share.keeper, customer, max_wait_s)
        if reply is not None and reply.keeper != reply.name:
            reply = await self._request_token(
                reply.keeper, customer, max_wait_s
            )
        if reply is None or reply.keeper != reply.name:
            return self._take_own_part(customer, share, max_wait_s)
        return Grant(reply.is_granted, reply.wait_s)

    def note_heartbeat(self, heartbeat: Heartbeat, *, is_first: bool) -> None:
        """Apply what a heartbeat tells of the buckets that its host keeps.

        :param is_first: whether it is the first one after a start of its host,
            which then has none of the leases given before.
        """
        now = self.clock.boottime()
        given = self.limits.given
        given.note_stamp(heartbeat.name, heartbeat.stamp, now)
        kept = () if is_first else heartbeat.kept
        given.note_kept(heartbeat.name, heartbeat.stamp, kept)

    def put_back(self, customer: str) -> None:
        """Return the token of a request that was not sent.

        A token of another host's bucket is not returned to it.
        """
        self.limits.customers.put_back(customer)

    def handle_request(self, request: TokenRequest) -> None:
        """Grant a token to another host, or name the keeper to it."""
        own = self.limits.own_name
        share = self.limits.shares.get(request.customer)
        stamp = self.clock.boottime()
        if share is None or share.keeper != own:
            keeper = '' if share is None else share.keeper
            reply = TokenReply(own, request.number, keeper, stamp=stamp)
        else:
            now = self.clock.monotonic()
            self.limits.held.accept(
                request.customer, request.name, request.lease, stamp
            )
            grant = self._take_here(request.customer, now, request.patience_s)
            reply = TokenReply(
                own,
                request.number,
                own,
                grant.is_granted,
                grant.wait_s,
                stamp,
            )
        self.send(reply, request.name)

    def handle_reply(self, reply: TokenReply) -> None:
        """Deliver a reply to its waiting request; late replies are ignored."""
        given = self.limits.given
        given.note_stamp(reply.name, reply.stamp, self.clock.boottime())
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
        lease = self.lending.lend_whole(customer, keeper)
        reply = None
        attempts = 0
        while reply is None and attempts < _MAX_ATTEMPTS:
            attempts += 1
            self._number += 1
            request = TokenRequest(
                own, self._number, customer, max_wait_s, lease
            )
            reply = await self._send_request(request, keeper)
        if reply is not None:
            self._silent_until.pop(keeper, None)
            return reply
        self._note_silent(keeper, customer)
        return None

    def _note_silent(self, keeper: str, customer: str) -> None:
        """Send a keeper no requests for a while."""
        given = self.limits.given
        left = given.find_own_fraction(customer, self.clock.boottime())
        pause_s = _SILENT_KEEPER_PAUSE_S if left else _LENT_PAUSE_S
        silent_at = self.clock.monotonic()
        self.lending.silent_at[keeper] = silent_at
        self._silent_until[keeper] = silent_at + pause_s
        log_event('keeper silent', keeper=keeper, customer=customer)

    async def _send_request(
        self, request: TokenRequest, keeper: str
    ) -> TokenReply | None:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[TokenReply] = loop.create_future()
        self._pending_replies[request.number] = waiter
        self.send(request, keeper)
        try:
            return await wait_in_time(waiter, _REPLY_TIMEOUT_S)
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
        lent_s = self.limits.find_lent_time(customer)
        if lent_s:
            return Grant(is_granted=False, wait_s=lent_s)
        self.limits.refresh(customer, now)
        return self.limits.customers.take(customer, now, max_wait_s)

    def _take_own_part(
        self,
        customer: str,
        share: CustomerShare,
        max_wait_s: float,
    ) -> Grant:
        now = self.clock.monotonic()
        self.limits.demand.count(customer, now)
        elapsed = self.clock.boottime()
        given = self.limits.given
        left = given.find_own_fraction(customer, elapsed)
        if not left:
            lent_s = given.remaining_s(customer, elapsed)
            return Grant(is_granted=False, wait_s=lent_s)
        fallback = self.lending.fallback
        fallback.resize(customer, left * share.rate, left * share.burst, now)
        return fallback.take(customer, now, max_wait_s)
