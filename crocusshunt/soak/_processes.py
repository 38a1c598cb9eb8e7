"""Hosts as processes of their own, started and ended by their ids."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess  # noqa: S404
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

_HOST = '127.0.0.1'
# Below the ports that Linux gives to outgoing connections.
_LOWEST_PORT = 20_000
_HIGHEST_PORT = 32_000
_PORTS_PER_HOST = 6
_EXIT_POLL_S = 0.05
_ZONES = {'a1': 'a', 'a2': 'a', 'b1': 'b'}


def draw_ports(draw: random.Random) -> int:
    """Return the first of some free ports in a row."""
    while True:
        first = draw.randrange(_LOWEST_PORT, _HIGHEST_PORT)
        if all(map(_is_free, range(first, first + _PORTS_PER_HOST))):
            return first


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((_HOST, port))
            except OSError:
                return False
    return True


@dataclass(slots=True)
class HostProcess:
    """One host of the system.

    :param first_port: of its listening ports.
    :param store: address at which it reaches the store.
    """

    name: str
    failure_domain: str
    first_port: int
    store: str
    workdir: Path
    grace_s: float = 6
    starts: int = 0
    _process: subprocess.Popen[bytes] | None = None
    _logs: list[Any] = field(default_factory=list)

    @property
    def front(self) -> str:
        """Return where it takes requests."""
        return f'{_HOST}:{self.first_port}'

    @property
    def ready(self) -> str:
        """Return where it answers readiness checks."""
        return f'{_HOST}:{self.first_port + 1}'

    @property
    def directory(self) -> str:
        """Return where it answers look-ups."""
        return f'{_HOST}:{self.first_port + 2}'

    @property
    def is_running(self) -> bool:
        """Tell whether the process lives."""
        return self._process is not None and self._process.poll() is None

    def write_settings(self) -> None:
        """Write the settings file of the platform's format."""
        internal = self.first_port + 3
        document = {
            'self': {
                'node_name': self.name,
                'ip': _HOST,
                'zone': self.failure_domain,
                'region': _ZONES[self.failure_domain],
            },
            'network': {
                'listen': {
                    'front': self.front,
                    'ready': self.ready,
                    'directory': self.directory,
                },
                'internal_ports': [internal, internal + 1],
                'zones': _ZONES,
            },
            'platform': {'platform': {'address': self.store}},
            'terms': {'bounds': {'grace_s': self.grace_s}},
        }
        self._settings_path.write_text(json.dumps(document))

    def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self.starts += 1
        log = (self.workdir / f'{self.name}.{self.starts}.log').open('wb')
        self._logs.append(log)
        self._process = subprocess.Popen(  # noqa: S603
            [sys.executable, '-m', 'crocusshunt.programs.host'],
            env={**os.environ, 'CROCUSSHUNT_CONFIG': str(self._settings_path)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it lives."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """Return the exit status, None if it still runs after a time."""
        try:
            async with asyncio.timeout(seconds):
                while self.is_running:
                    await asyncio.sleep(_EXIT_POLL_S)
        except TimeoutError:
            return None
        return None if self._process is None else self._process.returncode

    def close(self) -> None:
        """End the process and its logs."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
        for log in self._logs:
            log.close()

    @property
    def _settings_path(self) -> Path:
        return self.workdir / f'{self.name}.json'
