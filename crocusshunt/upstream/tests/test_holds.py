"""Answers that wait at a host are bounded in number."""

import asyncio
from contextlib import ExitStack

import pytest

from crocusshunt.upstream._buffering import (
    FREE_ANSWER_BYTES,
    BodyBuffer,
    BufferLimit,
)
from crocusshunt.upstream._errors import NoRoomError

_MAX_HELD_COUNT = 3
_LONG_BYTES = FREE_ANSWER_BYTES + 1


async def test_one_more_waiting_answer_ends_at_once() -> None:
    """The others go on, and their number is free again afterwards."""
    limit = BufferLimit(max_held_count=_MAX_HELD_COUNT, get_spare=int)
    with ExitStack() as stack:
        bodies = [
            stack.enter_context(BodyBuffer(limit))
            for _ in range(_MAX_HELD_COUNT + 1)
        ]
        waiting = [
            asyncio.create_task(one.wait_for_room(_LONG_BYTES))
            for one in bodies[:-1]
        ]
        await asyncio.sleep(0)
        assert limit.held_count == _MAX_HELD_COUNT
        with pytest.raises(NoRoomError, match='too many answers'):
            await bodies[-1].wait_for_room(_LONG_BYTES)
        # Ordinary answers need no room.
        await bodies[-1].wait_for_room(FREE_ANSWER_BYTES)
        limit.get_spare = _get_much
        await asyncio.gather(*waiting)
    assert (limit.held_count, limit.reserved_bytes) == (0, 0)


def _get_much() -> float:
    return float('inf')
