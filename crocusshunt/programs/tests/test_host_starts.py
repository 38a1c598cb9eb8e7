"""Starts of a host, as a process, while what it needs is late or gone."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from aiohttp import ClientError, ClientSession, web

from crocusshunt.soak import HostProcess
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

_PORTS_PER_HOST = 6
_POLL_S = 0.05
# A start takes a few seconds on a busy machine.
_START_S = 30
# How long an earlier process may keep a port: until it is killed in a stop.
_TAKEN_S = 6
# What fails does so at once, and again after a pause of at most a second.
_STEADY_S = 4
_EXIT_PORT_TAKEN = 3
_EXIT_INVALID_SETTINGS = 2
# Offsets of a host's ports from its first one.
_FRONT = 0
_READY = 1
_DIRECTORY = 2
_INTERNAL = 3
_METRICS = 4


@dataclass(slots=True)
class _Start:
    """A host that may be started, and the store that it reads."""

    host: HostProcess
    store: MemoryFeedStore
    session: ClientSession
    directory: Path

    def read_log(self) -> list[dict[str, Any]]:
        path = self.directory / f'{self.host.name}.{self.host.starts}.log'
        lines = path.read_text(encoding='utf-8').splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    async def is_ready(self) -> bool:
        try:
            async with self.session.get(
                f'http://{self.host.document.ready}/ready'
            ) as response:
                return response.status == 200
        except (ClientError, OSError):
            return False

    async def wait_until_ready(self) -> None:
        """Wait until callers may be sent to it; fail at once if it ends."""
        async with asyncio.timeout(_START_S):
            while not await self.is_ready():
                assert self.host.is_running, self.read_log()[-1:]
                await asyncio.sleep(_POLL_S)


@asynccontextmanager
async def _prepare(directory: Path) -> AsyncIterator[_Start]:
    store = MemoryFeedStore()
    content = encode_configuration(
        1, [describe_route()], [CustomerDocument('court', ('key',), 0, 0)]
    )
    store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, content)
    runner = web.AppRunner(
        FeedStoreApplication(store).create(), shutdown_timeout=0
    )
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, 0).start()
    address = '{}:{}'.format(*runner.addresses[0])
    ports = draw_free_ports(_PORTS_PER_HOST, random.Random())
    host = HostProcess(HostDocument('h1', 'a1', ports[0], address), directory)
    try:
        async with ClientSession() as session:
            yield _Start(host, store, session, directory)
    finally:
        host.close()
        await runner.cleanup()


def _take_port(port: int, kind: socket.SocketKind) -> socket.socket:
    taken = socket.socket(type=kind)
    taken.bind((LOOPBACK, port))
    if kind is socket.SOCK_STREAM:
        taken.listen()
    return taken


@pytest.mark.parametrize(
    ('offset', 'kind'),
    [
        (_FRONT, socket.SOCK_STREAM),
        (_READY, socket.SOCK_STREAM),
        (_DIRECTORY, socket.SOCK_STREAM),
        (_INTERNAL, socket.SOCK_STREAM),
        (_INTERNAL, socket.SOCK_DGRAM),
        (_METRICS, socket.SOCK_STREAM),
    ],
)
async def test_host_starts_although_a_port_is_free_only_later(
    tmp_path: Path, offset: int, kind: socket.SocketKind
) -> None:
    """The process ended at once, and its log was empty."""
    async with _prepare(tmp_path) as start:
        port = start.host.document.first_port + offset
        with _take_port(port, kind):
            start.host.start()
            await asyncio.sleep(_TAKEN_S)
            assert start.host.is_running
            taken = [
                one
                for one in start.read_log()
                if one['event'] == 'port not opened'
            ]
        await start.wait_until_ready()
    assert taken
    assert all(str(port) in one['address'] for one in taken)


async def test_host_whose_port_stays_taken_says_so_and_ends(
    tmp_path: Path,
) -> None:
    """The exit status was that of any error, and the log was empty."""
    async with _prepare(tmp_path) as start:
        port = start.host.document.first_port + _FRONT
        with _take_port(port, socket.SOCK_STREAM):
            start.host.start()
            status = await start.host.wait(_START_S)
        last = start.read_log()[-1]
    assert status == _EXIT_PORT_TAKEN
    assert last['event'] == 'process ended'
    assert last['status'] == _EXIT_PORT_TAKEN
    assert str(port) in last['cause']


async def test_host_without_its_metrics_port_serves_callers(
    tmp_path: Path,
) -> None:
    """A port that no caller needs kept the host from starting."""
    async with _prepare(tmp_path) as start:
        port = start.host.document.first_port + _METRICS
        with _take_port(port, socket.SOCK_STREAM):
            start.host.start()
            await start.wait_until_ready()


async def test_host_starts_although_its_settings_are_written_late(
    tmp_path: Path,
) -> None:
    """A process that read a file that was just being written ended."""
    async with _prepare(tmp_path) as start:
        start.host.start()
        path = tmp_path / 'h1.json'
        content = path.read_bytes()
        path.write_bytes(content[: len(content) // 2])
        await asyncio.sleep(2)
        path.write_bytes(content)
        await start.wait_until_ready()


async def test_host_whose_settings_stay_unreadable_says_so_and_ends(
    tmp_path: Path,
) -> None:
    async with _prepare(tmp_path) as start:
        start.host.start()
        (tmp_path / 'h1.json').write_bytes(b'{"self": {')
        status = await start.host.wait(_START_S)
        last = start.read_log()[-1]
    assert status == _EXIT_INVALID_SETTINGS
    assert last['event'] == 'process ended'
    assert 'settings' in last['cause']


async def test_host_that_is_killed_and_started_at_once_is_ready_again(
    tmp_path: Path,
) -> None:
    async with _prepare(tmp_path) as start:
        start.host.start()
        await start.wait_until_ready()
        start.host.send_signal(signal.SIGKILL)
        await start.host.wait(_START_S)
        started_at = time.monotonic()
        start.host.start()
        await start.wait_until_ready()
    assert time.monotonic() - started_at < _START_S


async def test_host_that_is_asked_to_stop_while_a_port_is_taken_stops(
    tmp_path: Path,
) -> None:
    async with _prepare(tmp_path) as start:
        port = start.host.document.first_port + _FRONT
        with _take_port(port, socket.SOCK_STREAM):
            start.host.start()
            await asyncio.sleep(4)
            start.host.send_signal(signal.SIGTERM)
            status = await start.host.wait(_TAKEN_S)
    assert status == 0


async def test_host_starts_beside_a_pool_whose_servers_all_drain(
    tmp_path: Path,
) -> None:
    """The heartbeats failed while another region was not heard from."""
    other = {
        'name': 'h2',
        'ip': LOOPBACK,
        'internal_port': 1,
        'front_address': f'{LOOPBACK}:1',
        'failure_domain': 'b1',
        'region': 'b',
    }
    async with _prepare(tmp_path) as start:
        start.store.put('hosts', 'h2', json.dumps(other).encode())
        entry = encode_server(f'{LOOPBACK}:1', 'odd', 'a1', state='draining')
        start.store.put(SERVERS_TABLE, 'a28&b=', entry)
        start.host.start()
        await start.wait_until_ready()
        await asyncio.sleep(_STEADY_S)
        failed = [
            one
            for one in start.read_log()
            if one['event'] == 'background task failed'
        ]
        assert not failed, failed[0]
        assert await start.is_ready()


async def test_host_starts_with_its_standard_output_closed(
    tmp_path: Path,
) -> None:
    """The process ended at once by an error that no log told."""
    async with _prepare(tmp_path) as start:
        start.host.write_settings()
        command = 'exec "$0" -m crocusshunt.programs.host >&-'
        settings_path = str(tmp_path / 'h1.json')
        process = subprocess.Popen(  # noqa: S603
            ['/bin/sh', '-c', command, sys.executable],
            env={**os.environ, 'CROCUSSHUNT_CONFIG': settings_path},
        )
        try:
            async with asyncio.timeout(_START_S):
                while not await start.is_ready():
                    assert process.poll() is None
                    await asyncio.sleep(_POLL_S)
        finally:
            process.kill()
            process.wait()
