"""Bounds on the memory that responses of backend servers take."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager, nullcontext
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import Protocol

from crocusshunt.upstream._errors import AnswerBrokenError, NoRoomError
from crocusshunt.upstream._holds import AnswerHold
from crocusshunt.upstream._reading import ReadingBudget

# Pieces are joined to blocks of this size: small ones take many times their
# bytes, and one growing block leaves gaps in the memory of the process.
_BLOCK_BYTES = 1_048_576
# Longer answers wait for room; ordinary ones end before.
FREE_ANSWER_BYTES = 65_536
_ROOM_CHECK_S = 0.05
# A server takes other requests after that.
_MAX_ROOM_WAIT_S = 3


class AnswerShare(Protocol):
    """What the answer to one request may take of its caller's share."""

    def admit(self, size: int) -> bool:
        """Tell whether an answer may be so many bytes long now."""


# The share of the request that a task is for, None if it is not limited.
ANSWER_SHARE: ContextVar[AnswerShare | None] = ContextVar(
    'ANSWER_SHARE', default=None
)


def _get_unbounded() -> float:
    return float('inf')


def _make_no_room() -> None:
    """Leave everything as it is."""


@dataclass(slots=True)
class BufferLimit:
    """Memory and time that all answers of a host may take together.

    A server in trouble may send a body without end, and callers may leave
    answers unread. A long answer waits while there is no room; one at a time
    may exceed the total, so that those under way together don't wait for each
    other.

    :param max_answer_bytes: longest body of one response.
    :param max_total_bytes: most bytes of all answers but one.
    :param used_bytes: bytes of the bodies under way from servers.
    :param reserved_bytes: bytes that are still to come of long ones.
    :param kept_bytes: bytes of long answers that callers have not taken yet.
    :param max_held_count: most answers that wait for room or for their turn.
    :param held_count: how many do.
    :param get_spare: returns how many bytes the host has left for the bodies
        under way.
    :param make_room: called while an answer waits for room.
    :param budget: bounds the time.
    """

    max_answer_bytes: int = 33_554_432
    max_total_bytes: int = 33_554_432
    used_bytes: int = 0
    reserved_bytes: int = 0
    kept_bytes: int = 0
    max_held_count: int = 137
    held_count: int = 0
    get_spare: Callable[[], float] = _get_unbounded
    make_room: Callable[[], None] = _make_no_room
    budget: ReadingBudget = field(default_factory=ReadingBudget)
    # The one that may exceed the total.
    _exceeding: object = None

    def has_room(self, body: 'BodyBuffer', added: int) -> bool:
        """Tell whether a body may grow now.

        :param added: bytes to be added.
        """
        size = body.size + added
        if body.reserved_bytes >= added or size <= FREE_ANSWER_BYTES:
            return True
        missing = max(size, body.expected_bytes) - body.size
        missing -= body.reserved_bytes
        under_way = self.used_bytes + self.reserved_bytes + missing
        if under_way > self.get_spare():
            return False
        total = under_way + self.kept_bytes
        if total > self.max_total_bytes:
            own = body.size + body.reserved_bytes + missing
            if self._exceeding is None and total - own <= self.max_total_bytes:
                self._exceeding = body
            if self._exceeding is not body:
                return False
        body.reserved_bytes += missing
        self.reserved_bytes += missing
        return True

    def note_read(self, body: 'BodyBuffer', added: int) -> None:
        """Count bytes that a body grew by."""
        taken = min(body.reserved_bytes, added)
        body.reserved_bytes -= taken
        self.reserved_bytes -= taken
        self.used_bytes += added

    def end(self, body: 'BodyBuffer') -> None:
        """Stop counting a body."""
        self.used_bytes -= body.size
        self.reserved_bytes -= body.reserved_bytes
        body.reserved_bytes = 0
        if self._exceeding is body:
            self._exceeding = None


@dataclass(slots=True, eq=False)
class BodyBuffer:
    """The body of one response, within a limit.

    :param expected_bytes: length of the whole body, 0 if it isn't known.
    :param reserved_bytes: of these, those that are still to come and that
        there is room for.
    :param size: bytes that were read.
    :param hold: counts the time for which there is no room, if any.

    >>> limit = BufferLimit(max_answer_bytes=8)
    >>> with BodyBuffer(limit) as body:
    ...     body.append(b'whole')
    ...     limit.used_bytes, body.join()
    (5, b'whole')
    >>> limit.used_bytes
    0
    """

    limit: BufferLimit
    expected_bytes: int = 0
    reserved_bytes: int = 0
    size: int = 0
    hold: AnswerHold | None = None
    _blocks: list[bytes] = field(default_factory=list)
    _last: bytearray = field(default_factory=bytearray)

    def __enter__(self) -> 'BodyBuffer':
        """Begin a body without bytes."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Drop the body, whole or not, and stop counting it."""
        self.limit.end(self)
        # A failure refers to this object for a while.
        self._blocks.clear()
        self._last.clear()

    async def wait_for_room(self, added: int) -> None:
        """Wait until bytes may be added.

        :param added: how many.
        :raises NoRoomError: there was no room for long, or too many wait.
        """
        if self._has_turn(added) and self._may_grow(added):
            return
        with self._track_hold():
            while not self._has_turn(added):
                await asyncio.sleep(_ROOM_CHECK_S)
            await self._wait_until_growing(added)

    def append(self, received: bytes) -> None:
        """Add bytes to the body.

        :raises AnswerBrokenError: it would be longer than the limit allows.
        """
        limit = self.limit
        if self.size + len(received) > limit.max_answer_bytes:
            raise AnswerBrokenError('response body too long')
        self.size += len(received)
        limit.note_read(self, len(received))
        self._last += received
        if len(self._last) >= _BLOCK_BYTES:
            self._blocks.append(bytes(self._last))
            self._last.clear()

    def join(self) -> bytes | bytearray:
        """Return the bytes of the body, and drop its pieces.

        A long body doesn't take its memory twice while it is joined.
        """
        if not self._blocks:
            return bytes(self._last)
        joined = bytearray(self.size)
        start = 0
        self._blocks.reverse()
        self._blocks.insert(0, bytes(self._last))
        while self._blocks:
            block = self._blocks.pop()
            end = start + len(block)
            joined[start:end] = block  # noqa: WPS362
            start = end
        return joined

    @contextmanager
    def _track_hold(self) -> Iterator[None]:
        """Count the answer as held during the body, if one more may be."""
        limit = self.limit
        if limit.held_count >= limit.max_held_count:
            raise NoRoomError('too many answers wait at this host')
        limit.held_count += 1
        try:
            with nullcontext() if self.hold is None else self.hold.track():
                yield
        finally:
            limit.held_count -= 1

    async def _wait_until_growing(self, added: int) -> None:
        try:
            async with asyncio.timeout(_MAX_ROOM_WAIT_S):
                while not self._may_grow(added):
                    await asyncio.sleep(_ROOM_CHECK_S)
        except TimeoutError as error:
            raise NoRoomError('no room for the answer at this host') from error

    def _has_turn(self, added: int) -> bool:
        share = ANSWER_SHARE.get()
        return share is None or share.admit(self.size + added)

    def _may_grow(self, added: int) -> bool:
        if self.limit.has_room(self, added):
            return True
        self.limit.make_room()
        return False
