"""Gateways with backend servers and a table service in one process."""

import random
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import aiohttp
from result import Ok, Result

from crocusshunt.configuration import Edit, Evidence, encode_row
from crocusshunt.core import (
    Clock,
    HostIdentity,
    IdentifierGenerator,
    SystemClock,
)
from crocusshunt.gateway import (
    DeliveryPolicy,
    GatewaySection,
    GatewayService,
    GatewaySettings,
)
from crocusshunt.gateway._handling import RequestHandler
from crocusshunt.gateway._limit_errors import LimitError
from crocusshunt.gateway._limits import Limiter
from crocusshunt.keys import Key, digest_key
from crocusshunt.messages import RequesterPool, SnapshotFeed
from crocusshunt.routing import (
    Access,
    Customer,
    FailureDomain,
    Pool,
    Priority,
    RetryClass,
    Route,
    Row,
    Server,
    find_row_table,
)
from crocusshunt.standin import BackendService, PlatformService, RunCounter
from crocusshunt.storeclient import PlatformSettings

COURT_KEY = 'ck_court_0123456789'
BAR_KEY = 'ck_bar_9876543210'
_LOOPBACK = '127.0.0.1'
_UNREACHABLE_ADDRESS = 'tcp://127.0.0.1:1'

ROUTES = (
    Route(
        'read',
        'verify',
        path_prefix='/verify',
        priority=Priority.urgent,
        deadline_ms=2000,
        retry=RetryClass.idempotent,
    ),
    Route(
        'archive',
        'verify',
        path_prefix='/archive',
        priority=Priority.deferrable,
        deadline_ms=2000,
        retry=RetryClass.idempotent,
    ),
    Route(
        'write',
        'verify',
        path_prefix='/ledger',
        idempotent=False,
        deadline_ms=2000,
        retry=RetryClass.not_run,
    ),
    Route('open', 'verify', path_prefix='/open', access=Access.open),
)


class _UnlimitedLimiter(Limiter):
    async def try_take(
        self,
        customer: str,
        max_wait_s: float,
    ) -> Result[None, LimitError]:
        return Ok(None)


@dataclass(slots=True)
class Site:
    """Running services of a test, and an HTTP client session."""

    gateways: list[GatewayService]
    backends: list[BackendService]
    platform: PlatformService
    runs: RunCounter
    session: aiohttp.ClientSession

    @property
    def url(self) -> str:
        return self.gateways[0].url

    def request(
        self,
        method: str,
        path: str,
        *,
        idempotency_key: str = '',
        body: bytes | None = None,
        key: str = COURT_KEY,
        gateway: int = 0,
    ) -> 'aiohttp.client._RequestContextManager':
        headers = {'X-Api-Key': key}
        if idempotency_key:
            headers['Idempotency-Key'] = idempotency_key
        url = f'{self.gateways[gateway].url}{path}'
        return self.session.request(method, url, headers=headers, data=body)


def create_gateway(
    platform: PlatformService,
    name: str = 'h1',
    clock: Clock | None = None,
    policy: DeliveryPolicy | None = None,
) -> GatewayService:
    clock = clock or SystemClock()
    section = GatewaySection(
        _LOOPBACK,
        0,
        _UNREACHABLE_ADDRESS,
        key_evidence_s=1_000_000,
        answer_lifetime_s=0.1,
        finish_s=2,
    )
    service = GatewayService(
        GatewaySettings(
            HostIdentity(name, 'addis', 'addis-a'),
            section,
            PlatformSettings(platform.url),
        ),
        clock,
        random.Random(name),
        policy,
    )
    handler = service._handler
    identifiers = IdentifierGenerator(random.Random(f'{name}-requests'))
    limiter = _UnlimitedLimiter(
        _UNREACHABLE_ADDRESS, RequesterPool(), clock, identifiers
    )
    service._handler = RequestHandler(
        replace(handler._parts, limiter=limiter),
        clock,
        identifiers,
    )
    return service


def configure(gateway: GatewayService, rows: Iterable[Row]) -> None:
    edits = tuple(
        Edit(find_row_table(row), row.name, None, encode_row(row))
        for row in rows
    )
    revision = gateway.feed.configuration.revision + 1
    snapshot = SnapshotFeed(revision, '', edits, Evidence(revision, 0))
    assert gateway.feed.accept_snapshot(snapshot, 0)


def create_rows(backends: Iterable[BackendService]) -> tuple[Row, ...]:
    servers = tuple(
        Server(
            backend.name,
            'verify',
            f'{_LOOPBACK}:{backend.port}',
            'addis',
            f'addis-{"ab"[position % 2]}',
            slots=4,
        )
        for position, backend in enumerate(backends)
    )
    tables: list[Row] = [
        FailureDomain('addis-a', 'addis'),
        FailureDomain('addis-b', 'addis'),
        Pool('verify'),
        Customer('court', rate=1000, burst=1000),
        Customer('bar', rate=1000, burst=1000),
        Key('court', 'court', digest_key(COURT_KEY)),
        Key('bar', 'bar', digest_key(BAR_KEY)),
        *ROUTES,
        *servers,
    ]
    return tuple(tables)


@asynccontextmanager
async def run_site(
    servers: int = 3,
    gateways: int = 1,
    clock: Clock | None = None,
    policy: DeliveryPolicy | None = None,
) -> AsyncIterator[Site]:
    platform = PlatformService(_LOOPBACK, 0)
    await platform.start()
    runs = RunCounter()
    backends = []
    for number in range(servers):
        backend = BackendService(f's{number}', _LOOPBACK, 0)
        backend.counter = runs
        await backend.start()
        backends.append(backend)
    started = []
    for number in range(gateways):
        gateway = create_gateway(platform, f'h{number}', clock, policy)
        await gateway.start()
        configure(gateway, create_rows(backends))
        started.append(gateway)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield Site(started, backends, platform, runs, session)
    for service in (*started, *backends, platform):
        await service.stop()
