"""The client against a platform that fails in several ways."""

import random
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from crocusshunt.core import ManualClock
from crocusshunt.storeclient import (
    CallPolicy,
    CircuitState,
    HttpPlatform,
    PlatformSettings,
)
from crocusshunt.store import (
    Query,
    StoreDamagedAnswerError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
    Write,
)
from crocusshunt.web import HttpService

_WRITES = (Write('t', 'k', 'body'),)


class _FailingPlatform(HttpService):
    status = 200
    body = b'{}'
    failures = 0
    calls = 0

    def create_application(self) -> web.Application:
        application = web.Application()
        application.router.add_route('*', '/{path:.*}', self._answer)
        return application

    async def _answer(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self.calls <= self.failures:
            return web.Response(status=503)
        return web.Response(status=self.status, body=self.body)


@pytest.fixture
async def server() -> AsyncIterator[_FailingPlatform]:
    started = _FailingPlatform('127.0.0.1', 0)
    await started.start()
    yield started
    await started.stop()


@pytest.fixture
async def client(server: _FailingPlatform) -> AsyncIterator[HttpPlatform]:
    opened = HttpPlatform(PlatformSettings(server.url), rng=random.Random(1))
    yield opened
    await opened.close()


@pytest.mark.parametrize('body', [b'', b'{', b'\xff', b'[1]', b'{"a":1}'])
async def test_undecodable_body_is_a_damaged_answer(
    server: _FailingPlatform,
    client: HttpPlatform,
    body: bytes,
) -> None:
    server.body = body
    row = await client.read('t', 'k')
    rows = await client.query(Query('t'))
    hosts = await client.list_hosts()
    for found in (row.err(), rows.err(), hosts.err()):
        assert isinstance(found, StoreDamagedAnswerError)
    server.status = 409
    conflict = await client.transact(_WRITES)
    assert isinstance(conflict.unwrap_err(), StoreDamagedAnswerError)


@pytest.mark.parametrize(
    ('status', 'error'),
    [
        (302, StoreUnavailableError),
        (400, StoreUnavailableError),
        (404, StoreUnavailableError),
        (429, StoreUnavailableError),
        (500, StoreUnknownOutcomeError),
        (503, StoreUnavailableError),
        (504, StoreUnknownOutcomeError),
    ],
)
async def test_failed_write_has_error_type_and_is_not_retried(
    server: _FailingPlatform,
    client: HttpPlatform,
    status: int,
    error: type[StoreError],
) -> None:
    server.status = status
    outcome = await client.transact(_WRITES)
    assert isinstance(outcome.unwrap_err(), error)
    assert server.calls == 1


async def test_reads_are_retried(
    server: _FailingPlatform,
    client: HttpPlatform,
) -> None:
    server.failures = 2
    server.body = b'[]'
    assert (await client.query(Query('t'))).is_ok()
    assert server.calls == 3
    assert client.policy.measure_rates().retries * 10 == 2


async def test_open_circuit_sends_no_calls(
    server: _FailingPlatform,
    client: HttpPlatform,
) -> None:
    server.failures = 1000
    for _ in range(20):
        assert (await client.read('t', 'k')).is_err()
    assert client.policy.state is CircuitState.open
    # Five calls with two retries each, then none.
    assert server.calls == 15


def test_circuit_probes_one_call_at_a_time() -> None:
    clock = ManualClock()
    policy = CallPolicy(clock, random.Random(1))
    for _ in range(5):
        policy.record_failure()
    clock.advance(2)
    assert policy.state is CircuitState.probing
    assert [policy.admit(), policy.admit()] == [True, False]
    policy.release()
    assert policy.admit()
    policy.record_success()
    assert policy.admit()
    assert policy.admit()


def test_retries_stay_within_budget() -> None:
    policy = CallPolicy(ManualClock(), random.Random(1))
    retries = 0
    for _ in range(1000):
        policy.admit()
        retries += policy.plan_retry(1) is not None
    assert retries <= 10 + 1000 / 10
