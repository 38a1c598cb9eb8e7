"""Requests to witnesses to support the leases that this host holds."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

from result import Err, Ok, Result

from crocusshunt.controller._leases import LeaseManager
from crocusshunt.controller._peers import Peers
from crocusshunt.controller._witness_handler import WitnessHandler
from crocusshunt.core import Clock
from crocusshunt.limits import HeldLease
from crocusshunt.messages import (
    LeaseEpoch,
    LeasesRenewed,
    RenewLeases,
    TransportError,
)

_TIMEOUT_S = 1


@dataclass(slots=True)
class _WitnessRequest:
    """Leases to name in the request to one witness."""

    supports: list[LeaseEpoch] = field(default_factory=list)
    fences: list[LeaseEpoch] = field(default_factory=list)


class SupportCollector:
    """Asks the witnesses to support this host's leases.

    Each witness gets one request for all leases that concern it. For a lease
    whose lending term has not begun it is asked to fence the earlier holders,
    for any other to support this host.
    """

    def __init__(
        self,
        host: str,
        leases: LeaseManager,
        own_witness: WitnessHandler,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Collect support for the leases of this host.

        :param host: name of this host.
        :param own_witness: the witness on this host, called directly.
        """
        self._host = host
        self._leases = leases
        self._own_witness = own_witness
        self._peers = peers
        self._clock = clock

    def has_all_support(self) -> bool:
        """Tell whether this host may lend for all its leases."""
        held_leases = self._leases.held_leases
        return bool(held_leases) and all(
            self._leases.find_term(shard) is not None for shard in held_leases
        )

    async def collect_support(self) -> None:
        """Ask all witnesses concurrently and record their answers.

        Then begin the lending terms whose earlier holders have stopped.
        """
        requests = self._group_by_witness()
        await asyncio.gather(
            *(
                self._request_support(host, one)
                for host, one in requests.items()
            ),
        )
        now = self._clock.monotonic()
        for held_lease in self._leases.held_leases.values():
            held_lease.begin(now)

    def _group_by_witness(self) -> dict[str, _WitnessRequest]:
        requests: defaultdict[str, _WitnessRequest] = defaultdict(
            _WitnessRequest
        )
        now = self._clock.monotonic()
        for shard, held_lease in self._leases.held_leases.items():
            lease = LeaseEpoch(shard, held_lease.row.epoch)
            if held_lease.begin(now):
                for host in held_lease.row.witnesses:
                    requests[host].supports.append(lease)
            else:
                for host in _find_unfenced(held_lease):
                    requests[host].fences.append(lease)
        return requests

    async def _request_support(
        self, host: str, claims: _WitnessRequest
    ) -> None:
        request = RenewLeases(tuple(claims.supports), tuple(claims.fences))
        epochs = {
            lease.shard: lease.epoch
            for lease in (*request.supports, *request.fences)
        }
        requested_at = self._clock.monotonic()
        answer = await self._send(host, request)
        if isinstance(answer, Err):
            return
        now = self._clock.monotonic()
        renewed = answer.ok_value
        for shard in renewed.supported:
            held_lease = self._find_current_lease(shard, epochs)
            if held_lease is not None:
                held_lease.add_support(host, requested_at)
        for fenced in renewed.fenced:
            held_lease = self._find_current_lease(fenced.shard, epochs)
            if held_lease is not None:
                held_lease.add_clearance(host, now, fenced.wait_s)

    async def _send(
        self,
        host: str,
        request: RenewLeases,
    ) -> Result[LeasesRenewed, TransportError]:
        if host == self._host:
            return Ok(await self._own_witness.answer(request))
        return await self._peers.ask(host, request, LeasesRenewed, _TIMEOUT_S)

    def _find_current_lease(
        self, shard: str, epochs: dict[str, int]
    ) -> HeldLease | None:
        held_lease = self._leases.held_leases.get(shard)
        # The lease may have been lost, or its epoch raised, while the answer
        # was on its way.
        if held_lease is None or held_lease.row.epoch != epochs.get(shard):
            return None
        return held_lease


def _find_unfenced(held_lease: HeldLease) -> set[str]:
    hosts = {host for hosts in held_lease.row.unfenced for host in hosts}
    return hosts - set(held_lease.cleared)
