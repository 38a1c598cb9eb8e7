"""Delivery of a request to servers, or to a host that reaches them."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from crocusshunt.front._attempts import RequestTemplate
from crocusshunt.front._dispatch import Dispatcher, DispatchResult
from crocusshunt.front._outcomes import UNREACHED_CAUSES
from crocusshunt.front._pending import PendingRequest
from crocusshunt.front._relay import Relay
from crocusshunt.front._retry_watch import RetryWatch
from crocusshunt.front._server_reach import ServerReach

CreateTemplate = Callable[[], RequestTemplate]


@dataclass(frozen=True, slots=True)
class Forwarder:
    """Sends requests to servers, and passes on those that cannot reach one."""

    dispatcher: Dispatcher
    relay: Relay
    reach: ServerReach
    retries: RetryWatch

    async def run(
        self, pending: PendingRequest, create_template: CreateTemplate
    ) -> DispatchResult:
        """Return the response for the caller, or the reason for a refusal.

        A host that is cut off from all servers passes a request on at once,
        and one that misses some servers of the pool if it reached no other.

        :param create_template: creates the request for another host.
        """
        pool = pending.request.pool
        self.retries.note_request(pool)
        if self.reach.is_cut_off and self.dispatcher.can_finish(pending):
            relayed = await self.relay.send(pending, create_template())
            if relayed is not None:
                return relayed
        dispatched = await self.dispatcher.run(pending)
        # At the other host, it is a repeat if a server here had it before.
        may_relay = self._is_unreached(pending, dispatched)
        if may_relay and pending.arrivals:
            may_relay = self.retries.spend(pool)
        if may_relay:
            relayed = await self.relay.send(pending, create_template())
            if relayed is not None:
                return relayed
        return dispatched

    def _is_unreached(
        self, pending: PendingRequest, dispatched: DispatchResult
    ) -> bool:
        """Tell whether a request was not run since no server was reached."""
        if not isinstance(dispatched, Err) or pending.executions:
            return False
        if dispatched.err_value.cause not in UNREACHED_CAUSES:
            return False
        return self.reach.misses_servers(pending.request.pool)
