"""Hosts as separate processes, which are signalled by their process ids."""

import asyncio
import os
import signal
import subprocess  # noqa: S404
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from crocusshunt.logs import log_event
from crocusshunt.standin import HostDocument, encode_settings

# For requests, readiness, look-ups, two internal ports, and one unused.
PORTS_PER_HOST = 6
_EXIT_POLL_S = 0.05
_END_SIGNALS = frozenset((signal.SIGKILL, signal.SIGTERM))
_ERROR_EVENTS = (
    '"background task failed"',
    '"pool not planned"',
    '"row not applied"',
)
REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}


@dataclass(slots=True)
class HostProcess:
    """One host of the system, with its settings file and logs.

    :param workdir: directory of the settings file and the logs.
    :param starts: number of starts so far; each has a log file of its own.
    :param own_ends: ends of its processes that nobody had asked to end.
    """

    document: HostDocument
    workdir: Path
    starts: int = 0
    own_ends: list[str] = field(default_factory=list)
    _is_asked_to_end: bool = False
    _process: subprocess.Popen[bytes] | None = None
    _logs: list[Any] = field(default_factory=list)

    @property
    def name(self) -> str:
        """Return the name of the host."""
        return self.document.name

    @property
    def is_running(self) -> bool:
        """Tell whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int | None:
        """Return the id of the process, None before its first start."""
        return None if self._process is None else self._process.pid

    def write_settings(self) -> None:
        """Write the settings file in the format of the platform."""
        content = encode_settings(self.document, REGIONS)
        self._settings_path.write_bytes(content)

    def start(self) -> None:
        """Write the settings and start the process with a new log file.

        Do nothing if it is running: faults that overlap, such as a kill
        during a planned stop, each end with a start.
        """
        if self.is_running:
            return
        self._note_end()
        self.write_settings()
        self.starts += 1
        self._is_asked_to_end = False
        log = (self.workdir / f'{self.name}.{self.starts}.log').open('wb')
        self._logs.append(log)
        self._process = subprocess.Popen(  # noqa: S603
            [sys.executable, '-m', 'crocusshunt.programs.host'],
            env={**os.environ, 'CROCUSSHUNT_CONFIG': str(self._settings_path)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.is_running:
            if number in _END_SIGNALS:
                self._is_asked_to_end = True
            self._process.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """Wait for the exit and return its status, None after a timeout.

        Another fault may have started the host again by then.
        """
        started_at = time.monotonic()
        process = self._process
        try:
            async with asyncio.timeout(seconds):
                while process is not None and process.poll() is None:
                    await asyncio.sleep(_EXIT_POLL_S)
        except TimeoutError:
            return None
        status = None if process is None else process.returncode
        log_event(
            'host exited',
            host=self.name,
            status=status,
            waited_s=round(time.monotonic() - started_at, 2),
        )
        return status

    def close(self) -> None:
        """Kill the process and close its logs."""
        self._note_end()
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
        for log in self._logs:
            log.close()

    def read_errors(self) -> list[str]:
        """Return the lines of all logs that tell of an error of the program."""
        logs = sorted(self.workdir.glob(f'{self.name}.*.log'))
        return [
            f'{log.name}: {line}'
            for log in logs
            for line in log.read_text(errors='replace').splitlines()
            if any(event in line for event in _ERROR_EVENTS)
        ]

    def _note_end(self) -> None:
        """Record the end of a process that nobody had asked to end."""
        if self._process is None or self.is_running or self._is_asked_to_end:
            return
        status = self._process.returncode
        self.own_ends.append(
            f'start {self.starts} of {self.name} ended with status {status}'
        )

    @property
    def _settings_path(self) -> Path:
        return self.workdir / f'{self.name}.json'
