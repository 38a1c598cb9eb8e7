"""Programs of one host and the stand-ins, run as separate processes."""

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
TIMEOUT_S = 30
STATUS_OK = 200
_OPERATOR_KEY = 'ck_bootstrap_0f'
_HOST_SECTION = '[host]\nname = h1\nregion = addis\nfailure_domain = addis-a\n'
_PORT_NAMES = (
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
_Polled = TypeVar('_Polled')


@dataclass(frozen=True)
class Answer:
    """Status and JSON body of an HTTP response."""

    status: int
    document: dict[str, Any]


@dataclass
class LocalDeployment:
    """Programs of one host and the stand-ins, with a client session.

    :param directory: holds the settings files and logs.
    :param session: HTTP client that acts as the caller.
    :param ports: TCP ports by the name of their use.
    :param processes: running processes by program name.
    """

    directory: Path
    session: aiohttp.ClientSession
    ports: dict[str, int] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.ports = dict(
            zip(_PORT_NAMES, _find_ports(len(_PORT_NAMES)), strict=True)
        )

    def format_url(self, name: str) -> str:
        return f'http://127.0.0.1:{self.ports[name]}'

    def format_tcp_address(self, name: str) -> str:
        return f'tcp://127.0.0.1:{self.ports[name]}'

    def start(self, name: str) -> None:
        """Start a program with its existing settings file."""
        with self.find_log(name).open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [
                    PROGRAMS / f'crocus-{name}',
                    f'--settings={self.directory / name}.ini',
                ],
                stderr=log,
            )

    def find_log(self, name: str) -> Path:
        """Return the path of a program's log file."""
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
        """Start all programs and wait until their HTTP servers respond."""
        for name, sections in self._create_settings().items():
            path = self.directory / f'{name}.ini'
            path.write_text(sections, encoding='utf-8')
            self.start(name)
        for listening in ('standin', 'api', 'gateway', 'locator'):
            await self.wait_until_up(listening)
        await self._register_hosts()

    async def wait_until_up(self, name: str) -> None:
        async def probe() -> bool:
            try:
                async with self.session.get(self.format_url(name)):
                    return True
            except aiohttp.ClientConnectorError:
                return False

        await poll(probe, bool)

    async def set_switches(self, switches: PlatformSwitches) -> None:
        url = f'{self.format_url("standin")}/standin/switches'
        body = msgspec.json.encode(switches)
        async with self.session.put(url, data=body) as response:
            assert response.status == STATUS_OK

    async def call(self, path: str = '/verify/42') -> Answer:
        """Send a request with the caller's key to the gateway."""
        headers = {'X-Api-Key': CALLER_KEY}
        url = self.format_url('gateway') + path
        async with self.session.get(url, headers=headers) as response:
            return Answer(response.status, await response.json())

    async def call_until(
        self,
        predicate: Callable[[Answer], bool],
        path: str = '/verify/42',
    ) -> Answer:
        """Repeat a request with a key until its response matches."""
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
        client = OperatorClient(self.format_url('api'), _OPERATOR_KEY)
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

    async def _register_hosts(self) -> None:
        entry = HostEntry(
            'h1',
            'addis',
            'addis-a',
            self.format_url('gateway'),
            self.format_tcp_address('control'),
        )
        url = f'{self.format_url("standin")}/standin/hosts'
        body = msgspec.json.encode((entry,))
        async with self.session.put(url, data=body) as response:
            assert response.status == STATUS_OK

    def _create_settings(self) -> dict[str, str]:
        platform = f'[platform]\nurl = {self.format_url("standin")}\n'
        control = f'controller = {self.format_tcp_address("control")}\n'
        return {
            'standin': (
                f'[standin]\n{self._format_listener("standin")}'
                f'declarations = {self._write_declarations()}\n'
            ),
            'api': (
                f'{_HOST_SECTION}{platform}[api]\n'
                f'{self._format_listener("api")}'
                f'listen = {self.format_tcp_address("feed")}\n'
                f'bootstrap_digest = {digest_key(_OPERATOR_KEY)}\n'
            ),
            'controller': (
                f'{_HOST_SECTION}[controller]\n'
                f'listen = {self.format_tcp_address("control")}\n'
                f'sources = {self.format_tcp_address("feed")}\n'
            ),
            'gateway': (
                f'{_HOST_SECTION}{platform}[gateway]\n'
                f'{self._format_listener("gateway")}{control}'
                'answer_lifetime_s = 1\n'
                f'metrics_port = {self.ports["metrics"]}\n'
            ),
            'locator': (
                f'{_HOST_SECTION}[locator]\n'
                f'{self._format_listener("locator")}{control}'
            ),
        }

    def _format_listener(self, name: str) -> str:
        return f'address = 127.0.0.1\nport = {self.ports[name]}\n'

    def _write_declarations(self) -> Path:
        directory = self.directory / 'tables'
        directory.mkdir()
        declarations = (
            '[pool verify]\n[server s1]\npool = verify\nregion = addis\n'
            'failure_domain = addis-a\nslots = 8\n'
            f'address = 127.0.0.1:{self.ports["backend"]}\n'
        )
        (directory / 'pools.ini').write_text(declarations, encoding='utf-8')
        return directory


async def poll(
    probe: Callable[[], Awaitable[_Polled]],
    predicate: Callable[[_Polled], bool],
) -> _Polled:
    """Call a function until its result matches; fail after 30 s."""
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        polled = await probe()
        if predicate(polled):
            return polled
        assert time.monotonic() < deadline, polled
        await asyncio.sleep(_POLL_S)


def _find_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for bound in sockets:
        bound.bind(('127.0.0.1', 0))
    ports = [listener.getsockname()[1] for listener in sockets]
    for held in sockets:
        held.close()
    return ports
