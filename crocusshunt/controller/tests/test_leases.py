"""A lease whose witnesses are gone for a moment."""

from dataclasses import dataclass, field
from types import SimpleNamespace
from unittest.mock import Mock

from result import Ok, Result

from crocusshunt.controller._leases import LeaseManager
from crocusshunt.core import HostIdentity, ManualClock
from crocusshunt.store import StoreError, Write

_SHARD = 'shard-1'


@dataclass(slots=True)
class _Tables:
    """A table service with one row."""

    body: str = ''
    version: int = 0

    async def read(
        self, _table: str, _key: str
    ) -> Result[SimpleNamespace | None, StoreError]:
        if not self.body:
            return Ok(None)
        return Ok(SimpleNamespace(body=self.body, version=self.version))

    async def transact(
        self, writes: tuple[Write, ...]
    ) -> Result[None, StoreError]:
        self.body = str(writes[0].body)
        self.version += 1
        return Ok(None)


@dataclass(slots=True)
class _Host:
    """The only host, which is not live while its gateway is silent."""

    clock: ManualClock = field(default_factory=ManualClock)
    is_live: bool = True
    leases: LeaseManager = field(init=False)

    def __post_init__(self) -> None:
        """Create the manager of its leases."""
        directory = Mock(
            is_displaced=lambda _shard: False,
            find_live=lambda: {'h1': 'a1'} if self.is_live else {},
            choose_witnesses=lambda _shard: ('h1',) if self.is_live else (),
            find_home=lambda _shard, _by='': 'h1' if self.is_live else None,
        )
        self.leases = LeaseManager(
            HostIdentity('h1', 'a', 'a1'),
            'process-1',
            directory,
            Mock(wraps=_Tables()),
            self.clock,
        )

    async def maintain(self) -> None:
        """Maintain the lease; the host supports itself as a witness."""
        await self.leases.maintain(_SHARD)
        now = self.clock.monotonic()
        held_lease = self.leases.held_leases[_SHARD]
        held_lease.begin(now)
        for witness in held_lease.row.witnesses:
            held_lease.add_support(witness, now)
        self.clock.advance(0.5)


async def test_only_host_lends_again_after_it_was_taken_for_gone() -> None:
    """A gateway that was silent for two seconds left a lease unsupported."""
    host = _Host()
    await host.maintain()
    assert host.leases.find_term(_SHARD) is not None
    host.is_live = False
    for _ in range(4):
        await host.maintain()
    host.is_live = True
    for _ in range(2):
        await host.maintain()
    assert host.leases.find_term(_SHARD) is not None


async def test_lease_without_witnesses_gets_them() -> None:
    host = _Host()
    await host.maintain()
    held_lease = host.leases.held_leases[_SHARD]
    held_lease.row = type(held_lease.row)('h1', 'process-1', 2, (), ())
    held_lease.supports.clear()
    await host.maintain()
    assert host.leases.find_term(_SHARD) is not None
