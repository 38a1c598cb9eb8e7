"""Proper requests that were refused by checks which no page names."""

import asyncio
import itertools
import re
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import msgspec
import pytest

from crocusshunt.front._connections import LibraryResponse
from crocusshunt.front._ingress import Port
from crocusshunt.front.tests._backend import NAMES
from crocusshunt.front.tests._deployment import KEY, Deployment, deploy
from crocusshunt.front.tests._lenient_backend import LenientBackend
from crocusshunt.standin import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    CustomerDocument,
    describe_route,
    encode_configuration,
)

_MAX_HEADER_BYTES = 16_384
_ANSWER_S = 5
_STATUS = re.compile(rb'HTTP/1\.[01] (\d{3}) ')
_IDS = itertools.count()
_CHUNKED = 'Transfer-Encoding: chunked'


@pytest.fixture(autouse=True)
def _stop_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)


def _build(
    method: str = 'GET',
    target: str = '/a/x',
    fields: Sequence[str] = (),
    body: bytes = b'',
) -> bytes:
    lines = (
        f'{method} {target} HTTP/1.1',
        'Host: a.example',
        f'{NAMES.request_id}: r{next(_IDS)}',
        f'{NAMES.deadline_ms}: 3000',
        f'Authorization: Token {KEY}',
        *fields,
    )
    return '\r\n'.join((*lines, '', '')).encode() + body


def _fill(field_bytes: int, filler: str) -> bytes:
    """Return a request whose fields have a size."""
    used = len(_build()) - len('GET /a/x HTTP/1.1\r\n') - len('\r\n')
    count, left = divmod(field_bytes - used, len(f'{filler}\r\n'))
    fields = list(itertools.repeat(filler, count))
    fields[-1] += 'x' * left
    return _build(fields=fields)


@asynccontextmanager
async def _deploy() -> AsyncIterator[tuple[Deployment, LenientBackend]]:
    """Run a host with a server that takes all requests."""
    async with deploy() as deployment:
        backend = LenientBackend('s1')
        await backend.start()
        deployment.backends.append(backend)
        deployment.announce(backend)
        await deployment.wait_for_sync()
        yield deployment, backend


async def _send(
    deployment: Deployment, *pieces: bytes, count: int = 1
) -> list[int]:
    """Return the statuses of the responses on one connection."""
    host, port = deployment.service.settings.front_address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b''
    try:
        async with asyncio.timeout(_ANSWER_S):
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0)
            while len(_STATUS.findall(received)) < count:
                got = await reader.read(65_536)
                if not got:
                    break
                received += got
    finally:
        writer.close()
    return [int(status) for status in _STATUS.findall(received)]


_PROPER = {
    'plain': _build(),
    '125 fields': _build(fields=[f'X-{number}: a' for number in range(125)]),
    '300 fields': _build(fields=[f'X-{number}: a' for number in range(300)]),
    'small fields up to the limit': _fill(_MAX_HEADER_BYTES, 'A: b'),
    'one field up to the limit': _fill(_MAX_HEADER_BYTES, f'A: {"b" * 8000}'),
    'two User-Agent': _build(fields=['User-Agent: a', 'User-Agent: b']),
    'two Content-Type': _build(
        fields=['Content-Type: a/b', 'Content-Type: a/b']
    ),
    'two ETag': _build(fields=['ETag: "a"', 'ETag: "b"']),
    'own method': _build('BOOK'),
    'absolute form': _build(target='http://a.example/a/x'),
    'space after the size of a chunk': _build(
        'POST', fields=[_CHUNKED], body=b'3 \r\nabc\r\n0\r\n\r\n'
    ),
    'extension after a space': _build(
        'POST', fields=[_CHUNKED], body=b'3 ;a=b\r\nabc\r\n0\r\n\r\n'
    ),
    'trailer': _build(
        'POST', fields=[_CHUNKED], body=b'3\r\nabc\r\n0\r\nA: b\r\n\r\n'
    ),
    'length': _build('POST', fields=['Content-Length: 3'], body=b'abc'),
}


@pytest.mark.parametrize('form', _PROPER)
async def test_proper_request_is_answered(form: str) -> None:
    request = _PROPER[form]
    async with _deploy() as (deployment, backend):
        assert await _send(deployment, request) == [200]
        last = backend.requests[-1]
        assert last.target == '/a/x'
        assert last.body in {b'', b'abc'}
        assert bool(last.body) == request.startswith(b'POST')
        # Cut after each byte, on a connection that serves three of them.
        cut = [bytes([one]) for one in request * 3]
        assert await _send(deployment, *cut, count=3) == [200, 200, 200]
        pipelined = await _send(deployment, request * 40, count=40)
        assert Counter(pipelined) == {200: 40}


@pytest.mark.parametrize('filler', ['A: b', f'A: {"b" * 8000}'])
async def test_fields_over_the_limit_are_refused_as_too_large(
    filler: str,
) -> None:
    async with _deploy() as (deployment, backend):
        request = _fill(_MAX_HEADER_BYTES + 100, filler)
        assert await _send(deployment, request) == [431]
        assert not backend.requests
        components = deployment.service._components  # noqa: SLF001
        counts = components.library_responses.counts
        assert counts[LibraryResponse(Port.callers, 431, 'HeadTooLargeError')]


async def test_limit_on_fields_follows_the_configuration() -> None:
    async with _deploy() as (deployment, _backend):
        larger = 40_000
        content = encode_configuration(
            9, (describe_route(),), (CustomerDocument('court', (KEY,), 0, 0),)
        )
        document = msgspec.json.decode(content)
        limits = {
            'resource_kind': 'limits',
            'metadata': {'name': 'limits'},
            'spec': {'max_header_bytes': larger},
        }
        document['resources'].append(limits)
        content = msgspec.json.encode(document)
        deployment.store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, content)
        await deployment.wait_for_sync()
        assert await _send(deployment, _fill(larger, 'A: b')) == [200]
        assert await _send(deployment, _fill(larger + 100, 'A: b')) == [431]


async def test_requests_before_a_malformed_one_are_answered() -> None:
    async with _deploy() as (deployment, _backend):
        malformed = b'GET /a/x HTTP/1.1\r\nno colon\r\n\r\n'
        sent = b''.join((_build(), _build(), malformed))
        assert await _send(deployment, sent, count=3) == [200, 200, 400]


@pytest.mark.parametrize('pieces', [1, 2])
async def test_malformed_chunk_is_refused_once(
    pieces: int, caplog: pytest.LogCaptureFixture
) -> None:
    head = _build('POST', fields=[_CHUNKED])
    chunks = b'3\r\nabcd\r\n0\r\n\r\n'
    sent = (b''.join((_build(), _build(), head)), chunks)
    async with _deploy() as (deployment, backend):
        parts = (b''.join(sent),) if pieces == 1 else sent
        statuses = await _send(deployment, *parts, count=9)
        assert statuses == [200, 200, 400]
        assert len(backend.requests) == 2
    assert 'Unhandled' not in caplog.text


async def test_malformed_chunk_after_the_response_ends_the_connection(
    caplog: pytest.LogCaptureFixture,
) -> None:
    head = _build('POST', fields=[_CHUNKED]).replace(KEY.encode(), b'unknown')
    async with _deploy() as (deployment, _backend):
        host, port = deployment.service.settings.front_address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head)
        received = await reader.readuntil(b'\r\n\r\n')
        writer.write(b'zz\r\n')
        async with asyncio.timeout(_ANSWER_S):
            received += await reader.read()
        writer.close()
        assert _STATUS.findall(received) == [b'401']
    assert 'Unhandled' not in caplog.text
