"""Hosts of a soak test as processes."""

import asyncio
import os
import random
import signal
import subprocess  # noqa: S404
import sys
from pathlib import Path
from typing import Any

import pytest

from crocusshunt.soak import (
    CheckLimits,
    Records,
    _start_faults,
    find_violations,
)
from crocusshunt.soak._plan import PlannedFault, SoakSettings
from crocusshunt.soak._processes import PORTS_PER_HOST, HostProcess
from crocusshunt.soak._registry import inject_fault
from crocusshunt.soak._system import SoakSystem
from crocusshunt.standin import HostDocument, draw_free_ports


async def test_kill_during_a_stop_leaves_one_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    started: list[subprocess.Popen[bytes]] = []
    popen = subprocess.Popen

    def start(*arguments: Any, **options: Any) -> subprocess.Popen[bytes]:
        started.append(popen(*arguments, **options))
        return started[-1]

    monkeypatch.setattr(subprocess, 'Popen', start)
    rng = random.Random(7)
    port = draw_free_ports(PORTS_PER_HOST, rng)[0]
    document = HostDocument('h0', 'a1', port, '127.0.0.1:9')
    host = HostProcess(document, tmp_path)
    settings = SoakSettings(7, 18, 1, 1, ('stop-host', 'kill-host'))
    system = SoakSystem(settings, rng, hosts=[host])
    host.start()
    log = tmp_path / 'h0.1.log'
    async with asyncio.timeout(30):
        while b'host started' not in log.read_bytes():
            await asyncio.sleep(0.05)
    stop = asyncio.create_task(
        inject_fault(system, PlannedFault('stop-host', 0, 1, 0))
    )
    await asyncio.sleep(0.1)
    await inject_fault(system, PlannedFault('kill-host', 0, 1, 0))
    await stop
    running = [one for one in started if one.poll() is None]
    for one in started:
        one.kill()
        one.wait()
    assert len(running) == 1


def test_hangup_while_a_host_starts_does_not_end_it() -> None:
    """A reload soon after a restart ended the process."""
    statement = (
        'import signal; import crocusshunt.programs.host; '
        'print(signal.getsignal(signal.SIGHUP).name)'
    )
    ran = subprocess.run(  # noqa: S603
        [sys.executable, '-c', statement],
        capture_output=True,
        check=True,
        text=True,
    )
    assert ran.stdout.strip() == 'SIG_IGN'


async def test_end_that_nobody_asked_for_is_a_violation(tmp_path: Path) -> None:
    port = draw_free_ports(PORTS_PER_HOST, random.Random(8))[0]
    host = HostProcess(HostDocument('h0', 'a1', port, '127.0.0.1:9'), tmp_path)
    host.start()
    pid = host.pid
    assert pid is not None
    os.kill(pid, signal.SIGABRT)
    await host.wait(10)
    host.start()
    host.send_signal(signal.SIGKILL)
    await host.wait(10)
    host.close()
    assert host.own_ends == ['start 1 of h0 ended with status -6']
    records = Records(own_ends=host.own_ends)
    found = find_violations(records, CheckLimits('bank', 8, 8, 0))
    assert 'own-end' in {one.promise for one in found}


async def test_two_faults_may_take_one_port_of_a_host(tmp_path: Path) -> None:
    """The second one raised an error, so the whole run had no result."""
    rng = random.Random(9)
    port = draw_free_ports(PORTS_PER_HOST, rng)[0]
    host = HostProcess(HostDocument('h0', 'a1', port, '127.0.0.1:9'), tmp_path)
    settings = SoakSettings(9, 18, 1, 1, ('start-with-taken-port',))
    system = SoakSystem(settings, rng, hosts=[host])
    host.start()
    planned = PlannedFault('start-with-taken-port', 0, 2.5, 0)
    raised = await asyncio.gather(
        inject_fault(system, planned),
        inject_fault(system, planned),
        return_exceptions=True,
    )
    is_running = host.is_running
    host.close()
    assert not any(raised)
    assert is_running


async def test_wait_ends_with_the_process_though_another_was_started(
    tmp_path: Path,
) -> None:
    port = draw_free_ports(PORTS_PER_HOST, random.Random(10))[0]
    host = HostProcess(HostDocument('h0', 'a1', port, '127.0.0.1:9'), tmp_path)
    host.start()
    pid = host.pid
    assert pid is not None
    waiting = asyncio.create_task(host.wait(2))
    await asyncio.sleep(0)
    host.send_signal(signal.SIGKILL)
    os.waitid(os.P_PID, pid, os.WEXITED | os.WNOWAIT)
    host.start()
    status = await waiting
    host.close()
    assert status == -signal.SIGKILL


async def test_host_that_is_slow_to_end_is_started_all_the_same(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was taken for running, and ended without a start after it."""
    monkeypatch.setattr(_start_faults, '_EXIT_TIMEOUT_S', 0.1)
    send = subprocess.Popen.send_signal
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(
        subprocess.Popen,
        'send_signal',
        lambda process, number: loop.call_later(0.3, send, process, number),
    )
    rng = random.Random(11)
    port = draw_free_ports(PORTS_PER_HOST, rng)[0]
    host = HostProcess(HostDocument('h0', 'a1', port, '127.0.0.1:9'), tmp_path)
    settings = SoakSettings(11, 18, 1, 1, ('start-without-store',))
    system = SoakSystem(settings, rng, hosts=[host])
    host.start()
    await inject_fault(system, PlannedFault('start-without-store', 0, 1, 0))
    is_running = host.is_running
    monkeypatch.undo()
    host.close()
    assert is_running
    assert host.starts == 2


def test_error_inside_a_process_is_a_violation(tmp_path: Path) -> None:
    """Heartbeats failed in two runs, and no check noticed."""
    host = HostProcess(HostDocument('h0', 'a1', 1, '127.0.0.1:9'), tmp_path)
    line = '{"event":"background task failed","task":"heartbeats"}'
    (tmp_path / 'h0.1.log').write_text('{"event":"host started"}\n')
    (tmp_path / 'h0.2.log').write_text(f'{line}\n')
    (tmp_path / 'h1.1.log').write_text(f'{line}\n')
    errors = host.read_errors()
    assert errors == [f'h0.2.log: {line}']
    records = Records(program_errors=errors)
    found = find_violations(records, CheckLimits('bank', 8, 8, 0))
    assert 'no-program-error' in {one.promise for one in found}
