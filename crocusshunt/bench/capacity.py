"""Memory, CPU time and bytes per unit of load, used in docs/CAPACITY.md."""

import asyncio
import os
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Iterator
from pathlib import Path
from tempfile import TemporaryDirectory

from crocusshunt.bench import Measurement, register_bench
from crocusshunt.configuration import (
    Change,
    Configuration,
    Edit,
    Evidence,
    apply_change,
    attach_digest,
    encode_row,
)
from crocusshunt.messages import (
    ChangeFeed,
    Codec,
    FetchChanges,
    Handlers,
    Replier,
    Requester,
)
from crocusshunt.routing import Server, Tables
from crocusshunt.services import create_loop

_MAX_CONTROLLER_MB = 32
_MAX_CONTROLLER_CPU_PERCENT = 1.4
_IDLE_S = 5
_SETTLE_S = 2
_MESSAGES = 2_000
_ROWS = 20_000
_CHANGES = 50
_KIB_PER_MIB = 1024
_MICROSECONDS = 1_000_000
_PERCENT = 100
_ENDPOINTS_PER_EXCHANGE = 2
_CONTROLLER = """[host]
name = h1
region = addis
failure_domain = addis-a
[controller]
listen = tcp://127.0.0.1:0
sources = tcp://127.0.0.1:9
"""


@register_bench('capacity')
def measure_capacity() -> Iterator[Measurement]:
    """Measure the costs per unit that docs/CAPACITY.md multiplies."""
    yield from _measure_controller()
    yield from asyncio.Runner(loop_factory=create_loop).run(
        _measure_messages(),
    )
    yield from _measure_configuration()
    yield from _measure_feed()


def _measure_controller() -> Iterator[Measurement]:
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'controller.ini'
        path.write_text(_CONTROLLER, encoding='utf-8')
        program = Path(sys.executable).parent / 'crocus-controller'
        controller = subprocess.Popen(
            [program, f'--settings={path}'],
            stderr=subprocess.DEVNULL,
        )
        time.sleep(_SETTLE_S)
        before = _read_cpu_seconds(controller.pid)
        time.sleep(_IDLE_S)
        spent = _read_cpu_seconds(controller.pid) - before
        memory = _read_memory_mb(controller.pid)
        controller.terminate()
        controller.wait()
    yield Measurement(
        'capacity.controller_memory',
        memory,
        'MB',
        target=_MAX_CONTROLLER_MB,
    )
    yield Measurement(
        'capacity.controller_idle_cpu',
        spent / _IDLE_S * _PERCENT,
        '% of a core',
        target=_MAX_CONTROLLER_CPU_PERCENT,
    )


def _read_memory_mb(pid: int) -> float:
    status = Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    line = next(row for row in status.splitlines() if 'VmRSS' in row)
    return int(line.split()[1]) / _KIB_PER_MIB


def _read_cpu_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8').split()
    user, system = int(fields[13]), int(fields[14])
    return (user + system) / os.sysconf('SC_CLK_TCK')


async def _measure_messages() -> tuple[Measurement, ...]:
    handlers = Handlers()

    @handlers.register(FetchChanges)
    async def answer(question: FetchChanges) -> ChangeFeed:
        return ChangeFeed((), Evidence(question.held, 0))

    replier = Replier('tcp://127.0.0.1:0', handlers)
    await replier.start()
    requester = Requester(replier.address)
    before = time.process_time()
    for _ in range(_MESSAGES):
        await requester.exchange(FetchChanges(1), 1)
    spent = time.process_time() - before
    requester.close()
    await replier.stop()
    cost = spent / _MESSAGES / _ENDPOINTS_PER_EXCHANGE * _MICROSECONDS
    return (Measurement('capacity.message_cpu', cost, 'us a message and end'),)


def _measure_configuration() -> Iterator[Measurement]:
    tracemalloc.start()
    rows = tuple(_create_server(number) for number in range(_ROWS))
    tables = Tables().put(*rows)
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield Measurement('capacity.row_memory', size / _ROWS, 'bytes a row')
    held = Configuration(0, tables=tables)
    changes = _create_changes(held)
    before = time.process_time()
    for change in changes:
        held = apply_change(held, change).unwrap()
    spent = time.process_time() - before
    cost = spent / _CHANGES * _MICROSECONDS
    yield Measurement(
        f'capacity.change_cpu_at_{_ROWS}_rows',
        cost,
        'us a change',
    )


def _measure_feed() -> Iterator[Measurement]:
    codec = Codec()
    question = codec.encode(FetchChanges(1_000_000, 1))
    empty = codec.encode(ChangeFeed((), Evidence(1_000_000, 1)))
    change = _create_changes(Configuration())[0]
    full = codec.encode(ChangeFeed((change,), Evidence(1_000_000, 1)))
    yield Measurement('capacity.question_size', len(question), 'bytes')
    yield Measurement('capacity.empty_feed_size', len(empty), 'bytes')
    yield Measurement('capacity.change_feed_size', len(full), 'bytes')


def _create_server(number: int) -> Server:
    return Server(
        f's{number}',
        f'pool-{number // 12}',
        f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9000',
        f'region-{number % 17}',
        f'domain-{number % 35}',
        slots=4,
    )


def _create_changes(held: Configuration) -> tuple[Change, ...]:
    changes: list[Change] = []
    previous = held.digest
    for number in range(_CHANGES):
        server = _create_server(number)
        text = encode_row(server)
        change = attach_digest(
            Change(
                revision=held.revision + number + 1,
                change_id=f'change-{number}',
                author='mina',
                reason='move load for the month-end',
                time=float(number),
                edits=(Edit('server', server.name, text, text),),
                previous=previous,
            ),
        )
        previous = change.digest
        changes.append(change)
    return tuple(changes)
