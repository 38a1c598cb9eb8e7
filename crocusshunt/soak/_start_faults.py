"""Starts of hosts in series, while what they need is late or gone."""

import asyncio
import errno
import signal
import socket

from crocusshunt.logs import log_event
from crocusshunt.soak._faults import pick_host
from crocusshunt.soak._plan import PlannedFault
from crocusshunt.soak._processes import HostProcess
from crocusshunt.soak._registry import register_fault
from crocusshunt.soak._system import SoakSystem
from crocusshunt.standin import LOOPBACK, SERVERS_TABLE, encode_server

# A host that started is exempt from the time limits until it has caught up.
_STARTUP_S = 4
_EXIT_TIMEOUT_S = 2
_USED_PORT_COUNT = 5
_START_COUNT = 4
# Between the starts of a series: shorter than a start, and about as long.
_PAUSES_S = (0.02, 0.3, 1.5)
_ROW_COUNT = 60
_MAX_KEY_BYTES = 200
_KEY_ENDS = ('%#', '&b=', '%00', ' +;', '\0', '\n', '"\\', '/../', 'é')
_ENTRY = encode_server('127.0.0.1:9', 'pool', 'a1', 'draining')
_DIGIT_COUNTS = (19, 20, 400, 4301, 30_000)
_FIELDS = (b'"born":1', b'"sequence":1', b'"slots":4', b'"cold_left_s":0')


@register_fault('start-with-taken-port')
async def _start_with_taken_port(
    system: SoakSystem, planned: PlannedFault
) -> None:
    """Start a host while another socket has one of its ports."""
    host = pick_host(system, planned)
    system.record_fault('start', host.name, planned.for_s + _STARTUP_S)
    await _kill(host)
    port = host.document.first_port + planned.pick(range(_USED_PORT_COUNT))
    with socket.socket() as taken:
        _take(taken, port)
        host.start()
        await asyncio.sleep(planned.for_s)


@register_fault('start-again')
async def _start_again_and_again(
    system: SoakSystem, planned: PlannedFault
) -> None:
    """End the starts of a host, some before they are complete."""
    host = pick_host(system, planned)
    pause_s = planned.pick(_PAUSES_S)
    series_s = _START_COUNT * (pause_s + _EXIT_TIMEOUT_S)
    system.record_fault('start', host.name, series_s + _STARTUP_S)
    for _ in range(_START_COUNT):
        await _kill(host)
        host.start()
        await asyncio.sleep(pause_s)


@register_fault('start-without-store')
async def _start_without_store(
    system: SoakSystem, planned: PlannedFault
) -> None:
    """Start a host while the store refuses all calls."""
    host = pick_host(system, planned)
    system.record_fault('store-down', '', planned.for_s)
    system.record_fault('start', host.name, planned.for_s + _STARTUP_S)
    system.store.faults.is_down = True
    await _kill(host)
    host.start()
    await asyncio.sleep(planned.for_s)
    system.store.faults.is_down = False


@register_fault('odd-rows')
async def _leave_odd_rows(system: SoakSystem, planned: PlannedFault) -> None:
    """Write many rows with odd keys and numbers, as another writer might."""
    keys = [
        f'o{number}-{planned.place}{_KEY_ENDS[number % len(_KEY_ENDS)]}'
        for number in range(_ROW_COUNT)
    ]
    keys.append('o'.ljust(_MAX_KEY_BYTES, 'x'))
    for number, key in enumerate(keys):
        system.store.put(SERVERS_TABLE, key, _make_odd_entry(number))
    await asyncio.sleep(planned.for_s)
    for written in keys:
        system.store.remove(SERVERS_TABLE, written)


def _make_odd_entry(number: int) -> bytes:
    """Return an entry of which one number has many digits."""
    field = _FIELDS[number % len(_FIELDS)]
    digits = b'9' * _DIGIT_COUNTS[number % len(_DIGIT_COUNTS)]
    sign = b'-' if number % 3 else b''
    name = field.partition(b':')[0]
    return _ENTRY.replace(field, b'%b:%b%b' % (name, sign, digits))


def _take(taken: socket.socket, port: int) -> None:
    """Listen on a port of a host that does not run.

    If it is in use, another fault of this kind has taken it.
    """
    taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        taken.bind((LOOPBACK, port))
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
        log_event('port taken already', port=port)
    else:
        taken.listen()


async def _kill(host: HostProcess) -> None:
    """End a host, also if another fault starts it meanwhile."""
    while host.is_running:
        host.send_signal(signal.SIGCONT)
        host.send_signal(signal.SIGKILL)
        await host.wait(_EXIT_TIMEOUT_S)
