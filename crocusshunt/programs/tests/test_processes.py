"""The whole path as separate processes."""

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import msgspec
import pytest

from crocusshunt.client import OperatorClient, Proposal
from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.keys import Key, digest_key
from crocusshunt.routing import (
    Customer,
    FailureDomain,
    Pool,
    Route,
    Row,
    Server,
    name_table,
)
from crocusshunt.store import HostEntry

_PROGRAMS = Path(sys.executable).parent
_OPERATOR = 'ck_bootstrap_0f'
_CALLER = 'ck_court_0e'
_HOST = '[host]\nname = h1\nregion = addis\nfailure_domain = addis-a\n'
_GIVE_UP_S = 30
_STATUS_OK = 200


class _Site:
    """Processes of one host and its stand-ins."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        names = (
            'standin',
            'backend',
            'api',
            'feed',
            'control',
            'gateway',
            'locator',
        )
        self.ports = dict(zip(names, _find_ports(len(names)), strict=True))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def backend(self) -> str:
        return f'127.0.0.1:{self.ports["backend"]}'

    def url(self, name: str) -> str:
        return f'http://127.0.0.1:{self.ports[name]}'

    def wire(self, name: str) -> str:
        return f'tcp://127.0.0.1:{self.ports[name]}'

    def start(self, name: str, sections: str) -> None:
        path = self.directory / f'{name}.ini'
        path.write_text(sections, encoding='utf-8')
        self.processes[name] = subprocess.Popen(
            [_PROGRAMS / f'crocus-{name}', f'--settings={path}'],
            stderr=subprocess.DEVNULL,
        )

    def start_all(self) -> None:
        declared = (
            '[pool verify]\n[server s1]\npool = verify\nregion = addis\n'
            f'failure_domain = addis-a\naddress = {self.backend}\nslots = 4\n'
        )
        tables = self.directory / 'tables'
        tables.mkdir()
        (tables / 'pools.ini').write_text(declared, encoding='utf-8')
        standin = (
            '[standin]\naddress = 127.0.0.1\n'
            f'port = {self.ports["standin"]}\n'
            f'declarations = {tables}\n'
        )
        platform = f'[platform]\nurl = {self.url("standin")}\n'
        self.start('standin', standin)
        self.start(
            'api',
            f'{_HOST}{platform}[api]\naddress = 127.0.0.1\n'
            f'port = {self.ports["api"]}\nlisten = {self.wire("feed")}\n'
            f'bootstrap_digest = {digest_key(_OPERATOR)}\n',
        )
        self.start(
            'controller',
            f'{_HOST}[controller]\nlisten = {self.wire("control")}\n'
            f'sources = {self.wire("feed")}\n',
        )
        for name in ('gateway', 'locator'):
            extra = platform if name == 'gateway' else ''
            self.start(
                name,
                f'{_HOST}{extra}[{name}]\naddress = 127.0.0.1\n'
                f'port = {self.ports[name]}\n'
                f'controller = {self.wire("control")}\n',
            )

    def stop(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()


@pytest.fixture
def site(tmp_path: Path) -> Iterator[_Site]:
    started = _Site(tmp_path)
    started.start_all()
    yield started
    started.stop()


async def test_request_crosses_all_processes(site: _Site) -> None:
    async with aiohttp.ClientSession() as session:
        await _wait_until_up(session, site)
        await _put_hosts(session, site)
        await _apply_tables(site)
        received = await _call_until_answered(session, site)
        lookup = await _get_json(session, f'{site.url("locator")}/v1/lookup')
    assert received['customer'] == 'court'
    assert _CALLER not in str(received)
    assert [host['name'] for host in lookup['hosts']] == ['h1']
    for name, process in site.processes.items():
        assert not _find_io_urings(process.pid), name
        assert not _find_children(process.pid), name
        process.send_signal(signal.SIGTERM)
    for name, process in site.processes.items():
        assert process.wait(_GIVE_UP_S) == 0, name


def test_wrong_settings_name_every_fault(tmp_path: Path) -> None:
    path = tmp_path / 'gateway.ini'
    path.write_text('[gateway]\nport = many\n[extra]\n', encoding='utf-8')
    ended = subprocess.run(
        [_PROGRAMS / 'crocus-gateway', f'--settings={path}'],
        capture_output=True,
        check=False,
        text=True,
    )
    assert ended.returncode == 2
    assert f"{path} [gateway] port: value 'many'" in ended.stderr
    assert '(allowed: a whole number)' in ended.stderr
    assert f'{path} [extra]: unknown section' in ended.stderr
    assert f'{path} [host] name: missing' in ended.stderr


def _find_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(('127.0.0.1', 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for held in sockets:
        held.close()
    return ports


async def _wait_until_up(session: aiohttp.ClientSession, site: _Site) -> None:
    for name in ('standin', 'api', 'gateway', 'locator'):
        await _get_when_up(session, f'{site.url(name)}/v1/status')


async def _get_when_up(session: aiohttp.ClientSession, url: str) -> None:
    give_up_at = time.monotonic() + _GIVE_UP_S
    while True:
        try:
            async with session.get(url):
                return
        except aiohttp.ClientConnectorError:
            assert time.monotonic() < give_up_at, url


async def _put_hosts(session: aiohttp.ClientSession, site: _Site) -> None:
    entry = HostEntry(
        'h1',
        'addis',
        'addis-a',
        site.url('gateway'),
        site.wire('control'),
    )
    body = msgspec.json.encode((entry,))
    url = f'{site.url("standin")}/standin/hosts'
    async with session.put(url, data=body) as response:
        assert response.status == _STATUS_OK


async def _apply_tables(site: _Site) -> None:
    rows: tuple[Row, ...] = (
        FailureDomain('addis-a', 'addis'),
        Pool('verify'),
        Server('s1', 'verify', site.backend, 'addis', 'addis-a', slots=4),
        Route('verify', 'verify', path_prefix='/verify'),
        Customer('court', rate=100, burst=10),
        Key('court', 'court', digest_key(_CALLER)),
    )
    edits = tuple(
        EditRequest(name_table(row), row.name, encode_row(row)) for row in rows
    )
    client = OperatorClient(site.url('api'), _OPERATOR)
    accepted = await client.propose(Proposal('c1', 0, 'first', edits))
    await client.close()
    assert accepted.unwrap().revision == 1


async def _call_until_answered(
    session: aiohttp.ClientSession,
    site: _Site,
) -> dict[str, object]:
    url = f'{site.url("gateway")}/verify/42?api_key={_CALLER}&page=1'
    give_up_at = time.monotonic() + _GIVE_UP_S
    while True:
        async with session.get(url) as response:
            if response.status == _STATUS_OK:
                answer: dict[str, object] = await response.json()
                return answer
            assert time.monotonic() < give_up_at, await response.text()


async def _get_json(
    session: aiohttp.ClientSession, url: str
) -> dict[str, list[dict[str, str]]]:
    give_up_at = time.monotonic() + _GIVE_UP_S
    while True:
        async with session.get(url) as response:
            if response.status == _STATUS_OK:
                answer: dict[str, list[dict[str, str]]] = await response.json()
                return answer
            assert time.monotonic() < give_up_at, await response.text()


def _find_io_urings(pid: int) -> list[str]:
    folder = Path(f'/proc/{pid}/fd')
    links = [os.readlink(link) for link in folder.iterdir()]
    return [link for link in links if 'io_uring' in link]


def _find_children(pid: int) -> str:
    tasks = Path(f'/proc/{pid}/task').iterdir()
    return ''.join((task / 'children').read_text() for task in tasks).strip()
