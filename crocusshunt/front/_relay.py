"""Requests passed on to hosts that reach the servers this host does not."""

import asyncio
import itertools
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

from result import Err, Ok

from crocusshunt.core import Clock
from crocusshunt.fleet import HostRecord, choose_relays
from crocusshunt.front._attempts import RequestTemplate
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._dispatch import DispatchResult
from crocusshunt.front._headers import RELAY_VERSION, RELAYED_BY
from crocusshunt.front._outcomes import (
    CAUSE_CHANGED,
    NOT_RUN_STATUSES,
    Refusal,
    Status,
)
from crocusshunt.front._pending import PendingRequest
from crocusshunt.front._placer_state import PlacerState
from crocusshunt.front._relay_outcomes import decode_refusal, is_not_taken
from crocusshunt.front._renewal import may_go
from crocusshunt.front._settings import HeaderNames
from crocusshunt.front._trace import RelayRecord
from crocusshunt.logs import log_event
from crocusshunt.upstream import (
    AnswerBrokenError,
    Connection,
    NoRoomError,
    NotConnectedError,
    UpstreamAnswer,
)

_MS_PER_S = 1000
# The other host answers so long before this one gives up, besides the time for
# the way.
_MARGIN_S = 0.02
# Hosts that are tried if they cannot be reached, or reach no server.
_MAX_HOST_COUNT = 2


@dataclass(slots=True)
class Relay:
    """Passes requests on to hosts that reach the servers of their pool.

    A request is passed on once: the host that gets it does not pass it on.
    """

    cluster: ClusterState
    state: PlacerState
    names: HeaderNames
    clock: Clock
    _turns: Iterator[int] = field(default_factory=itertools.count)

    async def send(
        self, pending: PendingRequest, template: RequestTemplate
    ) -> DispatchResult | None:
        """Return another host's result, None if no host takes the request.

        :param template: the request with the caller's key.
        """
        for host in self._choose_hosts(pending):
            relayed = await self._send_to(host, pending, template)
            if relayed is not None:
                return relayed
        return None

    def _choose_hosts(self, pending: PendingRequest) -> Sequence[HostRecord]:
        chosen = choose_relays(
            self.cluster.fleet,
            pending.request.pool,
            pending.request.admission.allowed_regions,
            next(self._turns),
            self.clock.monotonic(),
        )
        return chosen[:_MAX_HOST_COUNT]

    async def _send_to(
        self,
        host: HostRecord,
        pending: PendingRequest,
        template: RequestTemplate,
    ) -> DispatchResult | None:
        record = RelayRecord(host.name)
        pending.trace.relays.append(record)
        remaining_s = pending.request.final_at - self.clock.monotonic()
        try:
            async with asyncio.timeout(remaining_s):
                connection = await self._connect(host, pending)
                if not self._may_go(host, pending):
                    self._give_back(host, connection)
                    record.detail = CAUSE_CHANGED
                    return None
                request = template.build(self._list_headers(host, pending))
                response = await connection.exchange(request)
        except NotConnectedError as unreachable:
            record.detail = unreachable.detail
            log_event('host not reached', host=host.name, cause=record.detail)
            return None
        except AnswerBrokenError as broken:
            record.detail = broken.detail
            return Err(Refusal(Status.bad_gateway, 'relay-broken'))
        except (NoRoomError, TimeoutError) as late:
            record.detail = getattr(late, 'detail', 'timeout')
            return Err(Refusal(Status.timeout, 'timeout'))
        self._give_back(host, connection)
        relayed = _read_result(response, self.names)
        record.detail = 'not taken' if relayed is None else ''
        return relayed

    def _may_go(self, host: HostRecord, pending: PendingRequest) -> bool:
        """Tell whether the newest configuration lets a host get a request."""
        return may_go(pending.request, host.region, self.cluster.index)

    async def _connect(
        self, host: HostRecord, pending: PendingRequest
    ) -> Connection:
        address = f'{host.ip}:{host.internal_port}'
        connections = self.cluster.connections
        reused = connections.take(
            host.name,
            address,
            pending.template.encoded_id,
            is_repeatable=pending.request.admission.route.is_idempotent,
        )
        return reused or await connections.open(address)

    def _list_headers(
        self, host: HostRecord, pending: PendingRequest
    ) -> list[tuple[str, str]]:
        """Return the headers for the other host."""
        margin_s = _MARGIN_S + self.state.round_trips.estimate(host.region)
        final_at = pending.request.final_at - margin_s
        remaining_s = max(0, final_at - self.clock.monotonic())
        return [
            (self.names.deadline_ms, str(int(remaining_s * _MS_PER_S))),
            (RELAYED_BY, self.cluster.fleet.own.name),
            (RELAY_VERSION, str(self._find_version(pending))),
        ]

    def _find_version(self, pending: PendingRequest) -> int:
        """Return the version of the configuration that binds at least."""
        index = self.cluster.index
        if index is None:
            return pending.request.admission.configuration
        return index.catalog.version

    def _give_back(self, host: HostRecord, connection: Connection) -> None:
        address = f'{host.ip}:{host.internal_port}'
        self.cluster.connections.give_back(host.name, address, connection)


def _read_result(
    response: UpstreamAnswer, names: HeaderNames
) -> DispatchResult | None:
    """Return a server's response, or the refusal of the other host.

    Return None if that host did not take the request, so that it was not run
    and another host may take it.
    """
    refusal = decode_refusal(response)
    if refusal is None:
        if _is_of_server(response, names):
            return Ok(response)
        return Err(Refusal(Status.bad_gateway, 'server-failed'))
    if is_not_taken(response, refusal):
        return None
    return Err(refusal)


def _is_of_server(response: UpstreamAnswer, names: HeaderNames) -> bool:
    """Tell whether a response that is no refusal may be a server's.

    Servers' failures may lack the signature. An older build passes on what its
    server did not promise.
    """
    if response.status in NOT_RUN_STATUSES:
        return False
    if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return True
    return response.find(names.signature.lower().encode()) is not None
