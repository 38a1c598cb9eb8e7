"""Faults of backend servers and callers, over real connections."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

import aiohttp
import pytest

from crocusshunt.delivery import OVERLOAD_HEADER
from crocusshunt.gateway.tests.site import (
    BAR_KEY,
    COURT_KEY,
    Site,
    configure,
    create_rows,
    run_site,
)
from crocusshunt.routing import Server, ServerState
from crocusshunt.standin import BackendSwitches, Fault

_BIG_BYTES = 8_388_608


async def _get_json(site: Site, path: str) -> tuple[int, dict[str, object]]:
    async with asyncio.timeout(10), site.request('GET', path) as answer:
        return answer.status, await answer.json()


def _count_received(site: Site) -> int:
    return sum(backend.received for backend in site.backends)


async def test_truncated_answer_aborts_the_callers_connection() -> None:
    async with run_site() as site:
        with pytest.raises(aiohttp.ClientPayloadError):
            await _get_json(site, '/verify/1?fault=short-body')
        assert _count_received(site) == 1


async def test_truncated_chunked_answer_aborts_the_callers_connection() -> None:
    async def close_within_chunked_answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'5\r\nhello\r\n'
        )
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(
        close_within_chunked_answer, '127.0.0.1', 0
    )
    port = server.sockets[0].getsockname()[1]
    async with run_site(servers=0) as site:
        rows = create_rows(())
        only = Server(
            's', 'verify', f'127.0.0.1:{port}', 'addis', 'addis-a', slots=4
        )
        configure(site.gateways[0], (*rows, only))
        with pytest.raises(aiohttp.ClientPayloadError):
            await _get_json(site, '/verify/1')
    server.close()


async def test_surplus_of_overlong_answer_never_reaches_a_caller() -> None:
    # Surplus bytes in the same read as the answer make the client library
    # reject the answer (502); the surplus must never reach a caller.
    async with run_site(servers=1) as site:
        for number in range(20):
            path = f'/verify/{number}?fault=overlong-body'
            status, received = await _get_json(site, path)
            assert received.get('path', path) == path
            assert (status, received.get('outcome')) in {
                (200, None),
                (502, 'unknown'),
            }
            path = f'/verify/{number}'
            status, received = await _get_json(site, path)
            assert (status, received['path']) == (200, path)


async def test_answer_to_another_request_is_not_relayed() -> None:
    async with run_site() as site:
        status, problem = await _get_json(site, '/archive/1?fault=other-answer')
        assert (status, problem['outcome']) == (502, 'unknown')


async def test_answer_without_framing_is_not_relayed() -> None:
    async with run_site() as site:
        status, problem = await _get_json(site, '/verify/1?fault=unframed')
        assert (status, problem['outcome']) == (502, 'unknown')


async def test_killed_server_is_replaced_in_another_domain() -> None:
    async with run_site() as site:
        site.backends[0].switches.fault = Fault.die_before
        for _ in range(20):
            status, received = await _get_json(site, '/verify/1')
            assert status == 200
            assert received['server'] != 's0'
        assert site.backends[0].received < 20


async def test_write_whose_server_crashed_is_unknown_and_not_resent() -> None:
    async with run_site() as site:
        async with site.request(
            'POST', '/ledger/1?fault=die-before', body=b'x'
        ) as answer:
            problem = await answer.json()
        assert problem['outcome'] == 'unknown'
        assert _count_received(site) == 1


async def test_shed_write_is_resent_to_another_server() -> None:
    async with run_site() as site:
        site.backends[0].switches.fault = Fault.shed
        for _ in range(10):
            async with site.request('POST', '/ledger/1', body=b'x') as answer:
                assert answer.status == 200
                assert OVERLOAD_HEADER not in answer.headers
        assert all(count == 1 for count in site.runs.runs.values())


async def test_all_servers_shedding_says_not_run() -> None:
    async with run_site() as site:
        for backend in site.backends:
            backend.switches.fault = Fault.shed
        async with site.request('POST', '/ledger/1') as answer:
            problem = await answer.json()
            assert answer.headers['Retry-After']
        assert problem['outcome'] == 'not_run'
        assert not site.runs.runs


async def test_unreachable_servers_say_not_run() -> None:
    async with run_site(servers=2) as site:
        for backend in site.backends:
            await backend.stop()
        async with site.request('POST', '/ledger/1') as answer:
            assert (await answer.json())['outcome'] == 'not_run'


async def test_disconnected_caller_frees_its_slot() -> None:
    async with run_site(servers=1) as site:
        calls = [
            asyncio.create_task(_get_json(site, '/verify/1?fault=hang'))
            for _ in range(4)
        ]
        while site.backends[0].running < 4:
            await asyncio.sleep(0.01)
        waiting = asyncio.create_task(_get_json(site, '/verify/2'))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        for call in calls:
            call.cancel()
        status, _received = await asyncio.wait_for(waiting, 1)
        assert status == 200
        while site.backends[0].running:
            await asyncio.sleep(0.01)


async def test_hanging_server_ends_at_the_deadline_as_unknown() -> None:
    async with run_site(servers=1) as site:
        status, problem = await _get_json(site, '/archive/1?fault=hang')
        assert (status, problem['outcome']) == (504, 'unknown')


async def test_queued_request_is_refused_by_its_deadline() -> None:
    async with run_site(servers=1) as site:
        slow = [
            asyncio.create_task(_get_json(site, '/open/1?sleep_ms=3000'))
            for _ in range(4)
        ]
        while site.backends[0].running < 4:
            await asyncio.sleep(0.01)
        status, problem = await _get_json(site, '/verify/1')
        assert (status, problem['outcome']) == (503, 'not_run')
        assert _count_received(site) == 4
        await asyncio.gather(*slow)


async def test_servers_of_the_own_region_are_preferred() -> None:
    async with run_site() as site:
        rows = [
            replace(row, region='dire')
            if isinstance(row, Server) and row.name != 's1'
            else row
            for row in create_rows(site.backends)
        ]
        configure(site.gateways[0], rows)
        slow = [
            asyncio.create_task(_get_json(site, '/verify/1?sleep_ms=200'))
            for _ in range(6)
        ]
        answers = await asyncio.gather(*slow)
        received = [answer[1]['server'] for answer in answers]
        assert received.count('s1') == 4


async def test_caller_may_shorten_the_deadline() -> None:
    async with run_site(servers=1) as site:
        async with site.session.get(
            f'{site.url}/verify/1?fault=hang',
            headers={'X-Api-Key': COURT_KEY, 'X-Request-Deadline-Ms': '100'},
        ) as answer:
            assert answer.status == 504
        _status, received = await _get_json(site, '/verify/1')
        headers = dict(received['headers'])  # type: ignore[call-overload]
        assert 1000 < int(headers['X-Request-Deadline-Ms']) <= 2000


async def test_draining_server_gets_no_new_requests() -> None:
    async with run_site() as site:
        rows = [
            replace(row, state=ServerState.draining)
            if isinstance(row, Server) and row.name != 's1'
            else row
            for row in create_rows(site.backends)
        ]
        configure(site.gateways[0], rows)
        for _ in range(10):
            _status, received = await _get_json(site, '/verify/1')
            assert received['server'] == 's1'


async def test_large_bodies_are_relayed_completely() -> None:
    body = b'x' * _BIG_BYTES
    async with run_site(servers=1) as site:

        async def chunks() -> AsyncIterator[bytes]:
            for start in range(0, _BIG_BYTES, 100_000):
                yield body[start : start + 100_000]

        for sent in (body, chunks()):
            async with site.session.post(
                f'{site.url}/ledger/1',
                data=sent,
                headers={'X-Api-Key': COURT_KEY},
                expect100=True,
            ) as answer:
                received = await answer.json()
            assert len(received['body']) == _BIG_BYTES


@pytest.mark.parametrize('servers', [1, 6])
async def test_crashing_request_is_quarantined_on_all_hosts_after_two_crashes(
    servers: int,
) -> None:
    async with run_site(servers=servers, gateways=3) as site:
        for fragile in site.backends:
            fragile.switches = BackendSwitches(poison='bomb')
        outcomes = []
        for number in range(6):
            async with site.request(
                'POST', '/ledger/1', body=b'bomb', gateway=number % 3
            ) as answer:
                outcomes.append((await answer.json())['outcome'])
        assert sum(backend.crashes for backend in site.backends) == 2
        assert outcomes == [
            *('unknown' for _ in range(2)),
            *('not_run' for _ in range(4)),
        ]
        for key in (COURT_KEY, BAR_KEY):
            async with site.request(
                'POST', '/ledger/1', body=b'sound', key=key
            ) as answer:
                assert answer.status == 200
