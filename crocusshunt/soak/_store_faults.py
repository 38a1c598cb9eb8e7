"""Faults of the store, and odd rows that other writers leave there."""

import asyncio

from crocusshunt.soak._plan import PlannedFault
from crocusshunt.soak._registry import register_fault
from crocusshunt.soak._system import SoakSystem
from crocusshunt.standin import (
    CONFIGURATION_TABLE,
    SERVERS_TABLE,
    StoreCopy,
    encode_server,
)

# How long the store is away before it comes back from a copy, and how long
# after that the operators and the servers have written again.
_AWAY_S = 1
_REWRITTEN_S = 0.5
# Writes of others that the store loses, so that versions go back far enough to
# be given out again for some seconds.
_LOST_WRITE_COUNT = 100
_OWNED_TABLES = frozenset((CONFIGURATION_TABLE, SERVERS_TABLE))
_DEPTH = 2000
_DEEP_ENTRY = b'{"entry":"x","":%b' % (b'[' * _DEPTH)
_SOUND_ENTRY = encode_server('127.0.0.1:9', 'pool', 'a1', 'draining')
_ODD_ENTRIES = (
    _DEEP_ENTRY,
    b'\xff\xfe',
    _SOUND_ENTRY.replace(b':9"', b':99999"'),
    _SOUND_ENTRY.replace(b'"born":1', b'"born":1%b' % (b'0' * _DEPTH)),
)


@register_fault('odd-entry')
async def _leave_odd_entry(system: SoakSystem, planned: PlannedFault) -> None:
    """Write a row that names no server, as another writer might."""
    key = f'odd-{planned.place}'
    content = planned.pick(_ODD_ENTRIES)
    system.store.put(SERVERS_TABLE, key, content)
    await asyncio.sleep(planned.for_s)
    system.store.remove(SERVERS_TABLE, key)


@register_fault('store-down')
async def _take_store_down(system: SoakSystem, planned: PlannedFault) -> None:
    system.record_fault('store-down', '', planned.for_s)
    system.store.faults.is_down = True
    await asyncio.sleep(planned.for_s)
    system.store.faults.is_down = False


@register_fault('store-silent')
async def _silence_store(system: SoakSystem, planned: PlannedFault) -> None:
    """Swallow all calls of the store; their connections stay open."""
    system.record_fault('store-silent', '', planned.for_s)
    system.store.faults.is_silent = True
    await asyncio.sleep(planned.for_s)
    system.store.faults.is_silent = False


@register_fault('store-forgets')
async def _truncate_store_history(
    system: SoakSystem, planned: PlannedFault
) -> None:
    system.store.forget_history()


@register_fault('store-returns')
async def _return_from_copy(system: SoakSystem, planned: PlannedFault) -> None:
    """Let the store lose what came after a copy, whoever wrote it.

    Operators and servers write their rows again, the hosts on their own.
    """
    store = system.store
    copied = store.copy()
    await asyncio.sleep(planned.for_s)
    system.record_fault('store-returns', '', _AWAY_S + _REWRITTEN_S)
    store.faults.is_down = True
    await asyncio.sleep(_AWAY_S)
    lost = store.copy()
    for _ in range(_LOST_WRITE_COUNT):
        store.put('status', 'lost', b'')
    store.return_from(copied)
    store.faults.is_down = False
    returned = store.copy()
    await asyncio.sleep(_REWRITTEN_S)
    _write_again(system, lost, returned)


def _write_again(
    system: SoakSystem, lost: StoreCopy, returned: StoreCopy
) -> None:
    """Write rows as they were before a return, unless they changed since.

    :param lost: all rows before the return.
    :param returned: all rows right after it.
    """
    now = system.store.copy().rows
    for place in lost.rows.keys() | returned.rows.keys():
        table, key = place
        known = now.get(place)
        if table not in _OWNED_TABLES or known != returned.rows.get(place):
            continue
        row = lost.rows.get(place)
        if row is None:
            system.store.remove(table, key)
        else:
            system.store.put(table, key, row.content)
