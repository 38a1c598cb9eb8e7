"""One host's programs and their stand-ins, as separate processes."""

import asyncio
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import aiohttp
import msgspec
from result import Result

from crocusshunt.api import AcceptedDocument
from crocusshunt.client import ApiError, OperatorClient, Proposal
from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.keys import Key, digest_key
from crocusshunt.routing import (
    Customer,
    FailureDomain,
    Pool,
    Route,
    Row,
    Server,
    find_row_table,
)
from crocusshunt.standin import PlatformSwitches
from crocusshunt.store import HostEntry

PROGRAMS = Path(sys.executable).parent
CALLER_KEY = 'ck_court_0e'
GIVE_UP_S = 30
STATUS_OK = 200
_OPERATOR_KEY = 'ck_bootstrap_0f'
_HOST = '[host]\nname = h1\nregion = addis\nfailure_domain = addis-a\n'
_PORTS = (
    'standin',
    'backend',
    'api',
    'feed',
    'control',
    'gateway',
    'locator',
    'metrics',
)
_POLL_S = 0.02
_Seen = TypeVar('_Seen')


@dataclass(frozen=True)
class Answer:
    """Status and JSON document of an answer."""

    status: int
    document: dict[str, Any]


@dataclass
class Site:
    """Processes of one host, their ports and their callers."""

    directory: Path
    session: aiohttp.ClientSession
    ports: dict[str, int] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.ports = dict(zip(_PORTS, _find_ports(len(_PORTS)), strict=True))

    def url(self, name: str) -> str:
        return f'http://127.0.0.1:{self.ports[name]}'

    def wire(self, name: str) -> str:
        return f'tcp://127.0.0.1:{self.ports[name]}'

    def start(self, name: str) -> None:
        """Start a program, with its settings as they were before."""
        with self.find_log(name).open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [
                    PROGRAMS / f'crocus-{name}',
                    f'--settings={self.directory / name}.ini',
                ],
                stderr=log,
            )

    def find_log(self, name: str) -> Path:
        """Return the file that takes a program's log."""
        return self.directory / f'{name}.log'

    def send_signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self) -> None:
        for name in self.processes:
            self.kill(name)

    async def start_all(self) -> None:
        """Start every program and wait until the HTTP ones answer."""
        for name, sections in self._describe_settings().items():
            path = self.directory / f'{name}.ini'
            path.write_text(sections, encoding='utf-8')
            self.start(name)
        for listening in ('standin', 'api', 'gateway', 'locator'):
            await self.wait_until_up(listening)
        await self._put_hosts()

    async def wait_until_up(self, name: str) -> None:
        async def ask() -> bool:
            try:
                async with self.session.get(self.url(name)):
                    return True
            except aiohttp.ClientConnectorError:
                return False

        await poll(ask, bool)

    async def set_switches(self, switches: PlatformSwitches) -> None:
        url = f'{self.url("standin")}/standin/switches'
        body = msgspec.json.encode(switches)
        async with self.session.put(url, data=body) as response:
            assert response.status == STATUS_OK

    async def call(self, path: str = '/verify/42') -> Answer:
        """Send a keyed request to the gateway."""
        headers = {'X-Api-Key': CALLER_KEY}
        url = self.url('gateway') + path
        async with self.session.get(url, headers=headers) as response:
            return Answer(response.status, await response.json())

    async def call_until(
        self,
        predicate: Callable[[Answer], bool],
        path: str = '/verify/42',
    ) -> Answer:
        """Repeat a keyed request until its answer is as wanted."""
        return await poll(lambda: self.call(path), predicate)

    async def propose(
        self,
        change_id: str,
        expected: int,
        *rows: Row,
    ) -> Result[AcceptedDocument, ApiError]:
        edits = tuple(
            EditRequest(find_row_table(row), row.name, encode_row(row))
            for row in rows
        )
        client = OperatorClient(self.url('api'), _OPERATOR_KEY)
        proposal = Proposal(change_id, expected, 'a test', edits)
        outcome = await client.propose(proposal)
        await client.close()
        return outcome

    async def apply_tables(self) -> None:
        backend = f'127.0.0.1:{self.ports["backend"]}'
        rows: tuple[Row, ...] = (
            FailureDomain('addis-a', 'addis'),
            Pool('verify'),
            Server('s1', 'verify', backend, 'addis', 'addis-a', slots=8),
            Route('verify', 'verify', path_prefix='/verify'),
            Customer('court', rate=1000, burst=1000),
            Key('court', 'court', digest_key(CALLER_KEY)),
        )
        accepted = await poll(
            lambda: self.propose('first', 0, *rows),
            lambda outcome: outcome.is_ok(),
        )
        assert accepted.unwrap().revision == 1

    async def _put_hosts(self) -> None:
        entry = HostEntry(
            'h1',
            'addis',
            'addis-a',
            self.url('gateway'),
            self.wire('control'),
        )
        url = f'{self.url("standin")}/standin/hosts'
        body = msgspec.json.encode((entry,))
        async with self.session.put(url, data=body) as response:
            assert response.status == STATUS_OK

    def _describe_settings(self) -> dict[str, str]:
        platform = f'[platform]\nurl = {self.url("standin")}\n'
        control = f'controller = {self.wire("control")}\n'
        return {
            'standin': (
                f'[standin]\n{self._listen("standin")}'
                f'declarations = {self._declare_backend()}\n'
            ),
            'api': (
                f'{_HOST}{platform}[api]\n{self._listen("api")}'
                f'listen = {self.wire("feed")}\n'
                f'bootstrap_digest = {digest_key(_OPERATOR_KEY)}\n'
            ),
            'controller': (
                f'{_HOST}[controller]\nlisten = {self.wire("control")}\n'
                f'sources = {self.wire("feed")}\n'
            ),
            'gateway': (
                f'{_HOST}{platform}[gateway]\n'
                f'{self._listen("gateway")}{control}'
                'answer_lifetime_s = 1\n'
                f'metrics_port = {self.ports["metrics"]}\n'
            ),
            'locator': (
                f'{_HOST}[locator]\n{self._listen("locator")}{control}'
            ),
        }

    def _listen(self, name: str) -> str:
        return f'address = 127.0.0.1\nport = {self.ports[name]}\n'

    def _declare_backend(self) -> Path:
        folder = self.directory / 'tables'
        folder.mkdir()
        declared = (
            '[pool verify]\n[server s1]\npool = verify\nregion = addis\n'
            'failure_domain = addis-a\nslots = 8\n'
            f'address = 127.0.0.1:{self.ports["backend"]}\n'
        )
        (folder / 'pools.ini').write_text(declared, encoding='utf-8')
        return folder


async def poll(
    ask: Callable[[], Awaitable[_Seen]],
    predicate: Callable[[_Seen], bool],
) -> _Seen:
    """Ask until what is seen is as wanted; fail after a long wait."""
    give_up_at = time.monotonic() + GIVE_UP_S
    while True:
        seen = await ask()
        if predicate(seen):
            return seen
        assert time.monotonic() < give_up_at, seen
        await asyncio.sleep(_POLL_S)


def _find_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for bound in sockets:
        bound.bind(('127.0.0.1', 0))
    ports = [listener.getsockname()[1] for listener in sockets]
    for held in sockets:
        held.close()
    return ports
