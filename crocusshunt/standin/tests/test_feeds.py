"""Changes that callers of the stand-in wait for."""

import asyncio
import time

from result import Err, Ok

from crocusshunt.feeds import Changes, HistoryLostError, Row
from crocusshunt.standin import MemoryFeedStore

_WAIT_S = 0.05
_STALL_AFTER_S = 0.01
_STALL_S = 0.1


async def test_change_at_the_end_of_a_wait_is_in_the_answer() -> None:
    """The wait is over and the change is made before the call goes on."""
    store = MemoryFeedStore()
    loop = asyncio.get_running_loop()
    call = asyncio.create_task(store.read_changes('op', 0, _WAIT_S))
    await asyncio.sleep(0)
    # Both timers are due in one round of the loop, the wait's first.
    loop.call_later(_STALL_AFTER_S, time.sleep, _STALL_S)
    loop.call_later(_WAIT_S + _STALL_AFTER_S, store.put, 'op', 'key', b'{}')
    assert await call == Ok(Changes((Row('key', b'{}', 1),), 1))


async def test_change_that_is_forgotten_during_a_wait_is_not_passed_over() -> (
    None
):
    """The history with the change is dropped before the call goes on."""
    store = MemoryFeedStore()
    call = asyncio.create_task(store.read_changes('op', 0, _WAIT_S))
    await asyncio.sleep(0)
    store.put('op', 'key', b'{}')
    store.forget_history()
    answer = await call
    assert isinstance(answer, Err)
    assert isinstance(answer.err_value, HistoryLostError)


async def test_wait_for_changes_ends_with_the_era_that_it_began_in() -> None:
    """The store comes back without a row that the caller has."""
    store = MemoryFeedStore()
    copy = store.copy()
    store.put('op', 'lost', b'{}')
    call = asyncio.create_task(store.read_changes('op', 1, _WAIT_S))
    await asyncio.sleep(0)
    store.return_from(copy)
    answer = await call
    assert isinstance(answer, Err)
    assert isinstance(answer.err_value, HistoryLostError)


async def test_store_that_came_back_has_the_history_since_its_copy() -> None:
    """Its callers read whole tables again and again, without a pause."""
    store = MemoryFeedStore()
    store.put('op', 'key', b'{}')
    copy = store.copy()
    store.put('op', 'lost', b'{}')
    store.forget_history()
    store.return_from(copy)
    table = (await store.read_table('op')).unwrap()
    store.put('op', 'new', b'{}')
    answer = await store.read_changes('op', table.version, 0)
    assert [row.key for row in answer.unwrap().rows] == ['new']
