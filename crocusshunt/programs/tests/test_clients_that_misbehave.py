"""Crowds of clients that do not behave, against one process of a host."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from absl import logging
from aiohttp import ClientError, ClientSession, web

from crocusshunt.platform import SOURCE_FORMAT
from crocusshunt.programs.tests._crowds import (
    CROWDS,
    HOST_NAME,
    KEY,
    CrowdKind,
    CrowdRun,
    send_heads_in_turn,
)
from crocusshunt.soak._processes import PORTS_PER_HOST, HostProcess
from crocusshunt.soak._readiness import wait_until_ready
from crocusshunt.standin import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    LOOPBACK,
    SERVERS_TABLE,
    CustomerDocument,
    FeedStoreApplication,
    HostDocument,
    MemoryFeedStore,
    describe_route,
    draw_free_ports,
    encode_configuration,
    encode_server,
)

_MEMORY_MB = 160
_MAX_DESCRIPTORS = 300
_KB_PER_MB = 1024
_PROCESS_LIMITS = {'memory_mb': _MEMORY_MB, 'max_fds': _MAX_DESCRIPTORS}
_BODY_BYTES = 1_000_000
_HEADER_BYTES = 4096
_IDLE_S = 2
_REQUEST_LIMITS = {
    'max_header_bytes': _HEADER_BYTES,
    'max_body_bytes': _BODY_BYTES,
    'header_timeout_s': 1,
    'idle_timeout_s': _IDLE_S,
}
_CASE_TIMEOUT_S = 60
# How often an ordinary caller asks before it gives up.
_ATTEMPTS = 5
_ATTEMPT_TIMEOUT_S = 3
_RETRY_S = 0.5
_POLL_S = 0.05
_START_POLLS = 400
_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503
_HEADERS = {'Host': HOST_NAME, 'Authorization': f'Token {KEY}'}
_HEAD_CROWD = CrowdKind(send_heads_in_turn, clients=40)
_LONG_ANSWER_BYTES = 8_000_000
# The longest body, and a machine, of the smallest sizes that occur.
_LONGEST_BODY_BYTES = 67_108_864
_SMALL_MACHINE = {'memory_mb': 200, 'max_fds': 4100}

# Callers on a connection each, and a machine whose descriptors allow them.
_MANY_CALLERS = CrowdKind(CROWDS['long-answers-unread'].act, clients=600)
_MANY_DESCRIPTORS = {'memory_mb': _MEMORY_MB, 'max_fds': 2000}

_FindAddress = Callable[[HostDocument], str]
# The other ports of a host.
_PORTS: dict[str, _FindAddress] = {
    'look-ups': lambda document: document.directory,
    'readiness': lambda document: document.ready,
    'other-hosts': lambda document: f'{LOOPBACK}:{document.internal_ports[0]}',
    'metrics': lambda document: f'{LOOPBACK}:{document.internal_ports[1]}',
}


@dataclass(slots=True)
class Site:
    """A host in a process of its own, with a store and two servers here.

    :param most_descriptors: most open descriptors of the host seen so far.
    """

    host: HostProcess
    store: MemoryFeedStore
    runners: list[web.AppRunner] = field(default_factory=list)
    most_descriptors: int = 0
    _crowd: CrowdRun | None = None

    async def start_servers(self) -> None:
        """Start two servers and write their entries."""
        for name in ('s1', 's2'):
            address = await _serve(_create_server(name), self.runners)
            content = encode_server(address, 'pool', 'a1')
            self.store.put(SERVERS_TABLE, name, content)

    def write_configuration(self, max_body_bytes: int = _BODY_BYTES) -> None:
        """Write a configuration with low limits."""
        limits = {**_REQUEST_LIMITS, 'max_body_bytes': max_body_bytes}
        content = encode_configuration(
            1,
            [describe_route()],
            [CustomerDocument('court', (KEY,))],
            limits=limits,
        )
        self.store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, content)

    async def play(self, kind: CrowdKind, address: str) -> None:
        """Let a crowd work while the host's descriptors are counted."""
        self._crowd = CrowdRun(kind, address)
        counting = asyncio.create_task(self._count_descriptors())
        try:
            await self._crowd.work()
        finally:
            counting.cancel()
            await asyncio.gather(counting, return_exceptions=True)

    def send_crowd_away(self) -> None:
        """Close the connections of the crowd."""
        if self._crowd is not None:
            self._crowd.leave()

    def check_bounds(self) -> None:
        """Check that the process lives within its limits."""
        assert self.host.is_running
        self.note_descriptors()
        peak_mb = self.read_peak_mb()
        seen = f'{peak_mb:.0f} MB, {self.most_descriptors} descriptors'
        logging.info('host measured: %s', seen)
        assert peak_mb < _MEMORY_MB, seen
        assert self.most_descriptors < _MAX_DESCRIPTORS, seen

    def note_descriptors(self) -> None:
        """Count the open descriptors of the host."""
        count = len(list(self._find_process().joinpath('fd').iterdir()))
        self.most_descriptors = max(self.most_descriptors, count)

    def read_peak_mb(self) -> float:
        """Return the largest resident memory so far, in MB."""
        text = self._find_process().joinpath('status').read_text()
        lines = [line for line in text.splitlines() if 'VmHWM' in line]
        return int(lines[0].split()[1]) / _KB_PER_MB

    async def stop(self) -> None:
        """End the process, the crowd and the servers."""
        self.send_crowd_away()
        self.host.close()
        for runner in self.runners:
            await runner.cleanup()

    async def _count_descriptors(self) -> None:
        while self.host.is_running:
            self.note_descriptors()
            await asyncio.sleep(_POLL_S)

    def _find_process(self) -> Path:
        assert self.host.pid is not None
        return Path(f'/proc/{self.host.pid}')


@asynccontextmanager
async def _run_site(
    tmp_path: Path, process_limits: dict[str, int]
) -> AsyncIterator[Site]:
    """Start a host whose store holds no configuration."""
    store = MemoryFeedStore()
    runners: list[web.AppRunner] = []
    application = FeedStoreApplication(store).create()
    ports = draw_free_ports(PORTS_PER_HOST, random.Random())
    document = HostDocument(
        name='h1',
        failure_domain='a1',
        first_port=ports[0],
        store=await _serve(application, runners),
        limits=process_limits,
    )
    site = Site(HostProcess(document, tmp_path), store, runners)
    try:
        await site.start_servers()
        site.host.start()
        await _wait_until_open(document)
        yield site
    finally:
        await site.stop()


@pytest.fixture
async def empty_site(tmp_path: Path) -> AsyncIterator[Site]:
    """Start a host with low limits and no configuration."""
    async with _run_site(tmp_path, _PROCESS_LIMITS) as running:
        yield running


@pytest.fixture
async def site(empty_site: Site) -> Site:
    """Return a host that is ready."""
    empty_site.write_configuration()
    await wait_until_ready([empty_site.host])
    return empty_site


@pytest.mark.parametrize('name', CROWDS)
async def test_crowd_leaves_the_host_within_its_limits(
    site: Site, name: str
) -> None:
    await _check_crowd(site, CROWDS[name], site.host.document.front)


@pytest.mark.parametrize('port', _PORTS)
async def test_crowd_at_another_port_leaves_the_host_within_its_limits(
    site: Site, port: str
) -> None:
    address = _PORTS[port](site.host.document)
    await _check_crowd(site, _HEAD_CROWD, address)


async def test_crowd_before_a_configuration_leaves_the_host_within_its_limits(
    empty_site: Site,
) -> None:
    async with asyncio.timeout(_CASE_TIMEOUT_S):
        kind = CROWDS['field-without-end']
        await empty_site.play(kind, empty_site.host.document.front)
        empty_site.check_bounds()
        empty_site.write_configuration()
        empty_site.send_crowd_away()
        await wait_until_ready([empty_site.host])
        await _check_answer(empty_site)
        empty_site.check_bounds()


async def test_many_long_answers_unread_leave_the_host_within_its_memory(
    tmp_path: Path,
) -> None:
    async with asyncio.timeout(_CASE_TIMEOUT_S):
        async with _run_site(tmp_path, _MANY_DESCRIPTORS) as running:
            running.write_configuration()
            await wait_until_ready([running.host])
            await running.play(_MANY_CALLERS, running.host.document.front)
            await _check_answer(running)
            peak_mb = running.read_peak_mb()
            assert running.host.is_running
            assert peak_mb < _MEMORY_MB


@pytest.mark.parametrize('size', [_BODY_BYTES - 1, _BODY_BYTES])
async def test_body_within_the_limit_is_served(site: Site, size: int) -> None:
    async with asyncio.timeout(_CASE_TIMEOUT_S):
        assert await _post(site, b'a' * size) == _describe_size(size)


async def test_longest_body_fits_the_smallest_machine(tmp_path: Path) -> None:
    async with asyncio.timeout(_CASE_TIMEOUT_S):
        async with _run_site(tmp_path, _SMALL_MACHINE) as running:
            running.write_configuration(_LONGEST_BODY_BYTES)
            await wait_until_ready([running.host])
            answer = await _post(running, b'a' * _LONGEST_BODY_BYTES)
            assert running.read_peak_mb() < _SMALL_MACHINE['memory_mb']
    assert answer == _describe_size(_LONGEST_BODY_BYTES)


async def test_body_in_chunks_of_one_byte_is_served(site: Site) -> None:
    size = 20_000
    chunks = b'1\r\na\r\n' * size
    async with asyncio.timeout(_CASE_TIMEOUT_S):
        reader, writer = await _connect(site)
        writer.write(_encode_head('POST', 'Transfer-Encoding: chunked'))
        writer.writelines((chunks, b'0\r\n\r\n'))
        answer = await _read_answer(reader)
        writer.close()
    assert answer == _describe_size(size).encode()


async def test_head_within_the_limit_is_served(site: Site) -> None:
    padding = 'a' * (_HEADER_BYTES - 500)
    async with asyncio.timeout(_CASE_TIMEOUT_S):
        reader, writer = await _connect(site)
        writer.write(_encode_head('GET', f'X-Long: {padding}'))
        answer = await _read_answer(reader)
        writer.close()
    assert answer == _describe_size(0).encode()


async def test_long_answer_arrives_whole(site: Site) -> None:
    query = f'?bytes={_LONG_ANSWER_BYTES}'
    async with asyncio.timeout(_CASE_TIMEOUT_S):
        answer = await _post(site, b'', query)
    assert len(answer) == _LONG_ANSWER_BYTES


async def test_connection_within_the_idle_time_is_served(site: Site) -> None:
    async with asyncio.timeout(_CASE_TIMEOUT_S):
        reader, writer = await _connect(site)
        for pause_s in (0, _IDLE_S * 4 / 5):
            await asyncio.sleep(pause_s)
            writer.write(_encode_head('GET'))
            answer = await _read_answer(reader)
            assert answer == _describe_size(0).encode()
        writer.close()


async def _check_crowd(site: Site, kind: CrowdKind, address: str) -> None:
    async with asyncio.timeout(_CASE_TIMEOUT_S):
        await site.play(kind, address)
        site.check_bounds()
        # The crowd keeps its connections and does nothing more.
        await _check_answer(site)
        site.check_bounds()
        site.send_crowd_away()
        await _check_answer(site)
        site.check_bounds()


async def _check_answer(site: Site) -> None:
    """Send one ordinary request, and again if there was no answer."""
    seen: list[str] = []
    for _ in range(_ATTEMPTS):
        try:
            async with asyncio.timeout(_ATTEMPT_TIMEOUT_S):
                assert await _post(site, b'abc') == _describe_size(3)
        except (ClientError, OSError, TimeoutError) as error:
            seen.append(repr(error))
        else:
            return
        await asyncio.sleep(_RETRY_S)
    pytest.fail(f'no answer: {seen}')


async def _post(site: Site, body: bytes, query: str = '') -> str:
    """Send a request and return the text of its answer.

    :raises OSError: the host is not there or has no room.
    """
    url = f'http://{site.host.document.front}/a/x{query}'
    async with (
        ClientSession() as session,
        session.post(url, data=body, headers=_HEADERS) as response,
    ):
        if response.status == _STATUS_UNAVAILABLE:
            raise OSError(_STATUS_UNAVAILABLE, await response.text())
        assert response.status == _STATUS_OK
        return await response.text()


async def _connect(
    site: Site,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _separator, port = site.host.document.front.rpartition(':')
    return await asyncio.open_connection(host, int(port))


def _encode_head(method: str, *fields: str) -> bytes:
    lines = [f'{name}: {text}' for name, text in _HEADERS.items()]
    first = f'{method} /a/x HTTP/1.1'
    return '\r\n'.join((first, *lines, *fields, '', '')).encode()


async def _read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return the body of an answer with status 200 and a length."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
    status, *lines = head.splitlines()
    assert status.split()[1] == str(_STATUS_OK)
    fields = dict(line.split(': ', 1) for line in lines if line)
    return await reader.readexactly(int(fields['content-length']))


async def _wait_until_open(document: HostDocument) -> None:
    host, _separator, port = document.ready.rpartition(':')
    for _ in range(_START_POLLS):
        try:
            _reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(_POLL_S)
            continue
        writer.close()
        return
    pytest.fail('the host did not open its port')


async def _serve(
    application: web.Application, runners: list[web.AppRunner]
) -> str:
    """Serve on a free port and return the address."""
    runner = web.AppRunner(
        application, shutdown_timeout=0, handler_cancellation=True
    )
    runners.append(runner)
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, 0).start()
    host, port = runner.addresses[0]
    return f'{host}:{port}'


def _create_server(name: str) -> web.Application:
    """Return a server that answers the size of a body, or a long text."""
    names = SOURCE_FORMAT.headers

    async def answer(request: web.Request) -> web.Response:
        body = await request.read()
        size = int(request.query.get('bytes', 0))
        request_id = request.headers.get(names.request_id, '')
        return web.Response(
            text='a' * size if size else _describe_size(len(body)),
            headers={
                names.request_id: request_id,
                names.signature: request_id,
                names.load: '0,0,4',
            },
        )

    application = web.Application(client_max_size=_LONGEST_BODY_BYTES + 1)
    application.router.add_route('*', '/{path:.*}', answer)
    return application


def _describe_size(size: int) -> str:
    return f'{size} bytes'
