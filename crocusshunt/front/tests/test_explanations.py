"""Explanations of failed requests from the log."""

import asyncio
import io

import msgspec
import pytest
from aiohttp import web

from crocusshunt.front.tests._backend import NAMES
from crocusshunt.front.tests._deployment import (
    Deployment,
    crowd_one_object,
    deploy,
)
from crocusshunt.logs import start_logging
from crocusshunt.reports import explain_request
from crocusshunt.standin import describe_route

_LOG_TIMEOUT_S = 15


@pytest.fixture(autouse=True)
def _stop_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)


@pytest.fixture
def log() -> io.StringIO:
    stream = io.StringIO()
    start_logging(stream=stream)
    return stream


def _explain(log: io.StringIO, request_id: str) -> str:
    lines = log.getvalue().splitlines()
    return '\n'.join(explain_request(request_id, lines).unwrap().describe())


async def _send_until(deployment: Deployment, status: int) -> str:
    """Send requests until one gets a given status; return its id."""
    for _ in range(20):
        found, _body, response = await deployment.send(method='POST')
        if found == status:
            return response.request_info.headers['X-Crocusshunt-Attempt-Id']
    raise AssertionError(f'no request ended with status {status}')


async def test_refused_over_the_rate(log: io.StringIO) -> None:
    async with deploy('s1') as deployment:
        deployment.configure(describe_route(target_latency_s=0.01), rate=2)
        await deployment.wait_for_sync(1.6)
        refused = await _send_until(deployment, 429)
        for _ in range(20):
            await deployment.send()
        # The log shows the demand at all hosts.
        await deployment.wait_for_sync(0.8)
    explained = _explain(log, refused)
    assert 'over-rate: the customer was over its rate' in explained
    assert 'ran   no backend server ran it' in explained
    assert 'by    configuration 2' in explained
    assert (
        '"event":"customer over its rate","customer":"court"' in log.getvalue()
    )


async def test_failed_after_it_was_sent(log: io.StringIO) -> None:
    async def reset(request: web.Request) -> None:
        assert request.transport is not None
        request.transport.abort()

    async with deploy('s1') as deployment:
        deployment.configure(describe_route(kind='non_idempotent'))
        await deployment.wait_for_sync()
        deployment.backends[0].override = reset
        failed = await _send_until(deployment, 502)
    explained = _explain(log, failed)
    assert 'ran   a backend server may have run it' in explained
    assert 'to s1 in a after' in explained
    assert 'server-broken' in explained


async def test_timeout_names_the_slow_server(log: io.StringIO) -> None:
    async def answer_late(request: web.Request) -> None:
        await asyncio.sleep(3)

    async with deploy('s1') as deployment:
        deployment.backends[0].override = answer_late
        timed_out = await _send_until(deployment, 504)
    explained = _explain(log, timed_out)
    assert 'timeout: the timeout of the route' in explained
    assert 'timed-out' in explained


async def test_refusal_for_lack_of_room_shows_the_estimated_load(
    log: io.StringIO,
) -> None:
    async with deploy('s1') as deployment:
        responses = await crowd_one_object(deployment)
        refused = [one for one in responses if one.status == 503]
        name = refused[0].request_info.headers[NAMES.request_id]
    explained = _explain(log, name)
    assert 'no-room' in explained
    assert 's1 had 5.0 requests for 4 slots' in explained
    assert 'back  after' in explained


async def test_refusal_beside_a_free_slot_names_the_rule(
    log: io.StringIO,
) -> None:
    async with deploy('s1', 's2') as deployment:
        responses = await crowd_one_object(deployment)
        refused = [one for one in responses if one.status == 503]
        name = refused[0].request_info.headers[NAMES.request_id]
    explained = _explain(log, name)
    assert 'full  s' in explained
    assert 'had 0.0 requests for 4 slots: object-not-held' in explained


async def _await_lines(log: io.StringIO, part: str, count: int) -> None:
    async with asyncio.timeout(_LOG_TIMEOUT_S):
        while log.getvalue().count(part) < count:
            await asyncio.sleep(0.02)


async def test_store_outage_logs_its_start_and_end_once_per_table(
    log: io.StringIO,
) -> None:
    async with deploy('s1') as deployment:
        deployment.store.faults.is_down = True
        deployment.store.put('op', 'other', b'')
        deployment.store.put('servers', 'other', b'')
        deployment.store.put('hosts', 'other', b'')
        await _await_lines(log, '"event":"store lost"', 3)
        deployment.store.faults.is_down = False
        await _await_lines(log, '"event":"store regained"', 3)
    text = log.getvalue()
    assert text.count('"event":"store lost"') == 3
    assert text.count('"event":"store regained"') == 3


async def test_denied_request_says_by_what_it_was_judged(
    log: io.StringIO,
) -> None:
    async with deploy('s1') as deployment:
        assert (await deployment.send(key='unknown'))[0] == 401
    lines = log.getvalue().splitlines()
    line = next(one for one in lines if '"unknown-key"' in one)
    denied = msgspec.json.decode(line)
    assert (denied['configuration'], denied['asked_host']) == (1, 'a.example')
    assert denied['has_key'] is True
