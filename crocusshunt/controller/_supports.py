"""Support of witnesses for the leases that this host holds."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

from result import Err, Ok, Result

from crocusshunt.controller._leases import LeaseManager
from crocusshunt.controller._peers import Peers
from crocusshunt.controller._witnessing import WitnessHandler
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
class _Wanted:
    supports: list[LeaseEpoch] = field(default_factory=list)
    fences: list[LeaseEpoch] = field(default_factory=list)


class SupportCollector:
    """Asks each witness once for all leases that concern it."""

    def __init__(
        self,
        host: str,
        leases: LeaseManager,
        parts: WitnessHandler,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Gather support for the leases of this host.

        :param host: name of this host.
        :param parts: the witness that this host is itself.
        """
        self._host = host
        self._leases = leases
        self._parts = parts
        self._peers = peers
        self._clock = clock

    def is_settled(self) -> bool:
        """Tell whether this host may lend for all its leases."""
        tenancies = self._leases.tenancies
        return bool(tenancies) and all(
            self._leases.find_term(shard) is not None for shard in tenancies
        )

    async def gather(self) -> None:
        """Ask all witnesses at once and count their answers."""
        wanted = self._collect()
        await asyncio.gather(
            *(self._ask(host, one) for host, one in wanted.items()),
        )
        now = self._clock.monotonic()
        for tenancy in self._leases.tenancies.values():
            tenancy.begin(now)

    def _collect(self) -> dict[str, _Wanted]:
        wanted: defaultdict[str, _Wanted] = defaultdict(_Wanted)
        now = self._clock.monotonic()
        for shard, tenancy in self._leases.tenancies.items():
            lease = LeaseEpoch(shard, tenancy.row.epoch)
            if tenancy.begin(now):
                for host in tenancy.row.witnesses:
                    wanted[host].supports.append(lease)
            else:
                for host in _find_unfenced(tenancy):
                    wanted[host].fences.append(lease)
        return wanted

    async def _ask(self, host: str, wanted: _Wanted) -> None:
        question = RenewLeases(tuple(wanted.supports), tuple(wanted.fences))
        epochs = {
            lease.shard: lease.epoch
            for lease in (*question.supports, *question.fences)
        }
        asked_at = self._clock.monotonic()
        answer = await self._exchange(host, question)
        if isinstance(answer, Err):
            return
        now = self._clock.monotonic()
        renewed = answer.ok_value
        for shard in renewed.supported:
            tenancy = self._find(shard, epochs)
            if tenancy is not None:
                tenancy.add_support(host, asked_at)
        for fenced in renewed.fenced:
            tenancy = self._find(fenced.shard, epochs)
            if tenancy is not None:
                tenancy.add_clearance(host, now, fenced.wait_s)

    async def _exchange(
        self,
        host: str,
        question: RenewLeases,
    ) -> Result[LeasesRenewed, TransportError]:
        if host == self._host:
            return Ok(await self._parts.answer(question))
        return await self._peers.ask(host, question, LeasesRenewed, _TIMEOUT_S)

    def _find(self, shard: str, epochs: dict[str, int]) -> HeldLease | None:
        tenancy = self._leases.tenancies.get(shard)
        # The lease may have changed hands while the answer was on its way.
        if tenancy is None or tenancy.row.epoch != epochs.get(shard):
            return None
        return tenancy


def _find_unfenced(tenancy: HeldLease) -> set[str]:
    hosts = {host for hosts in tenancy.row.unfenced for host in hosts}
    return hosts - set(tenancy.cleared)
