"""Raw requests: smuggling, forged headers, size limits, 100-continue."""

import asyncio
import re

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from crocusshunt.gateway.tests.site import COURT_KEY, Site, run_site

_KEY_LINE = f'X-Api-Key: {COURT_KEY}\r\n'
_MANY_HEADERS = ''.join(
    ['Host: a\r\n', *(f'X-{number}: a\r\n' for number in range(200))],
)
_PROPERTY_SETTINGS = settings(
    derandomize=True,
    max_examples=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


async def _send(site: Site, text: str, *, is_eof_sent: bool = False) -> bytes:
    """Send a raw request; return its response, preceded by any 100 Continue.

    :param is_eof_sent: whether the sending side is closed after the text.
    """
    port = site.gateways[0].port
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(text.encode('latin-1'))
    if is_eof_sent:
        writer.write_eof()
    try:
        async with asyncio.timeout(5):
            return await _read_answer(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return b''
    finally:
        writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b'\r\n\r\n')
    if head.startswith(b'HTTP/1.1 100'):
        return head + await _read_answer(reader)
    length = re.search(rb'(?i)content-length: ([0-9]+)', head)
    assert length is not None
    return head + await reader.readexactly(int(length.group(1)))


def _status(answer: bytes) -> int:
    return int(answer.split(b' ', 2)[1]) if answer else 0


@pytest.mark.parametrize(
    'headers',
    [
        'Host: a\r\nHost: b\r\n',
        'Content-Length: 1\r\nContent-Length: 2\r\nHost: a\r\n',
        'Content-Length: 4\r\nContent-Length: 4\r\nHost: a\r\n',
        'Host: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n',
        'Host: a\r\nTransfer-Encoding: xchunked\r\n',
        'Host: a\r\nTransfer-Encoding : chunked\r\n',
        'Host: a\r\nContent-Length: +4\r\n',
        'Host: a\r\nX-Folded: a\r\n b\r\n',
        'Host: a\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n',
        f'Host: a\r\nIdempotency-Key: {"k" * 256}\r\n',
        'Host: a\r\nExpect: magic\r\n',
        f'Host: a\r\nX-Long: {"x" * 20_000}\r\n',
        _MANY_HEADERS,
        '',
    ],
)
async def test_ambiguous_framing_never_reaches_a_server(headers: str) -> None:
    async with run_site(servers=1) as site:
        answer = await _send(
            site,
            f'POST /ledger/1 HTTP/1.1\r\n{_KEY_LINE}{headers}\r\nabcd',
        )
        assert _status(answer) in {400, 417, 431}
        assert site.backends[0].received == 0


@pytest.mark.parametrize(
    'target',
    ['/open/../ledger', '/open/%2E%2e/ledger', '//ledger', '/open%2f..'],
)
async def test_path_cannot_reach_another_route(target: str) -> None:
    async with run_site(servers=1) as site:
        answer = await _send(
            site, f'GET {target} HTTP/1.1\r\nHost: a\r\n{_KEY_LINE}\r\n'
        )
        assert _status(answer) == 400
        assert site.backends[0].received == 0


async def test_absolute_target_is_refused() -> None:
    async with run_site(servers=1) as site:
        answer = await _send(
            site, f'GET http://b/verify HTTP/1.1\r\nHost: a\r\n{_KEY_LINE}\r\n'
        )
        assert _status(answer) == 400


async def test_continue_comes_only_after_admission() -> None:
    request = (
        'POST /ledger/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
        'Expect: 100-continue\r\nContent-Length: 4\r\n'
    )
    async with run_site(servers=1) as site:
        refused = await _send(site, f'{request}\r\n')
        assert _status(refused) == 401
        assert b'100 Continue' not in refused
        admitted = await _send(site, f'{request}{_KEY_LINE}\r\nabcd')
        assert admitted.startswith(b'HTTP/1.1 100 Continue')
        assert b'HTTP/1.1 200 OK' in admitted


async def test_request_with_truncated_body_never_runs() -> None:
    async with run_site(servers=1) as site:
        await _send(
            site,
            'POST /ledger/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 40\r\n'
            f'{_KEY_LINE}\r\nabcd',
            is_eof_sent=True,
        )
        assert not site.runs.runs


_HEADER_NAMES = st.text(
    alphabet=st.sampled_from('abcXYZ-_0'), min_size=1, max_size=12
)
_HEADER_VALUES = st.text(
    alphabet=st.characters(min_codepoint=0, max_codepoint=255), max_size=24
)


def test_arbitrary_headers_never_leak_keys_or_forge_the_customer() -> None:
    with asyncio.Runner() as runner:
        context = run_site(servers=1)
        site = runner.run(context.__aenter__())

        @_PROPERTY_SETTINGS
        @given(
            st.lists(st.tuples(_HEADER_NAMES, _HEADER_VALUES), max_size=5),
            _create_key_headers(),
        )
        def check(headers: list[tuple[str, str]], key_headers: str) -> None:
            runner.run(_check_headers(site, headers, key_headers))

        check()
        runner.run(context.__aexit__(None, None, None))


def _create_key_headers() -> st.SearchStrategy[str]:
    return st.sampled_from(
        (
            f'x-API-key: {COURT_KEY}',
            f'AUTHORIZATION: bEaReR {COURT_KEY}',
            f'cookie: Api_Key={COURT_KEY}',
            f'X-Api-Key: {COURT_KEY}\r\nx-api-key: {COURT_KEY}',
            f'X-Api-Key: {COURT_KEY}\r\nReferer: http://h/?k={COURT_KEY}',
            f'X-Api-Key: {COURT_KEY}\r\nConnection: x-customer, x-api-key',
        ),
    )


async def _check_headers(
    site: Site,
    headers: list[tuple[str, str]],
    key_headers: str,
) -> None:
    lines = ''.join(f'{name}: {text}\r\n' for name, text in headers)
    before = site.backends[0].received
    answer = await _send(
        site,
        f'GET /verify/1?API_key={COURT_KEY} HTTP/1.1\r\nHost: a\r\n'
        f'X-Customer: bar\r\nX_CUSTOMER: bar\r\nConnection: close\r\n'
        f'{key_headers}\r\n{lines}\r\n',
    )
    assert site.backends[0].received - before <= 1
    head, _separator, body = answer.partition(b'\r\n\r\n')
    if _status(head) == 200:
        received = msgspec.json.decode(body)
        assert received['customer'] == 'court'
        assert COURT_KEY not in str(received)
        names = [name.lower() for name, _text in received['headers']]
        assert names.count('x-customer') == 1
        assert 'x_customer' not in names
