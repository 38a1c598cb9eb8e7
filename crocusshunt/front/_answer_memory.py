"""Memory of answers that callers have not taken yet, and its bounds.

A caller may ask for long answers and read them slowly or not at all. What a
connection keeps is counted until it has left the process; a connection that
keeps too much begins nothing further, and one that takes nothing for too long
is ended.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from aiohttp import web

from crocusshunt.front._lingering import LingeringTransport
from crocusshunt.front._pace import Pace
from crocusshunt.front._sending import (
    AnswerResponse,
    count_bytes,
    count_unwritten,
)
from crocusshunt.ingress import Account, EndCause, Holding, HostLedger
from crocusshunt.upstream import FREE_ANSWER_BYTES, BufferLimit

# A connection that keeps more begins nothing further.
_MAX_UNSENT_BYTES = 262_144
_CHECK_INTERVAL_S = 1
# Of all that callers make a host keep; one answer may exceed it.
_HOST_FRACTION = 0.3
# An answer that waits for room takes so much: the bytes that are always read,
# and two pieces that were received.
_HELD_BYTES = 200_000
_HELD_FRACTION = 0.25
# Where others wait for room, connections that send for longer may be ended.
_MAX_CROWDED_S = 2


class Owner(Protocol):
    """A connection that keeps answers."""

    @property
    def account(self) -> Account | None:
        """Return what counts the kept bytes."""

    def hold(self, is_full: bool) -> None:
        """Read and begin nothing, or go on."""


@dataclass(slots=True)
class AnswerKeeper:
    """The connections of a host that keep answers.

    :param limit: of the answers under way; it leaves room for what is kept.
    """

    limit: BufferLimit
    ledger: HostLedger
    memories: set['AnswerMemory'] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Bound the answers under way by what the host has left."""
        host_bytes = self.ledger.limits.max_host_bytes
        self.limit.max_total_bytes = int(host_bytes * _HOST_FRACTION)
        self.limit.max_held_count = int(
            host_bytes * _HELD_FRACTION / _HELD_BYTES
        )
        self.limit.get_spare = self._get_spare
        self.limit.make_room = self._make_room
        self.ledger.count_under_way = self._count_under_way

    def _count_under_way(self) -> int:
        return self.limit.used_bytes + self.limit.reserved_bytes

    def _get_spare(self) -> float:
        return self.ledger.limits.max_host_bytes - self.ledger.total

    def _make_room(self) -> None:
        """End the connection that has kept the most for the longest time."""
        now = asyncio.get_running_loop().time()
        costs = {one: one.estimate_cost(now) for one in self.memories}
        if not costs:
            return
        costliest = max(costs, key=costs.__getitem__)
        if costs[costliest]:
            costliest.end(EndCause.host_bytes)


class AnswerMemory:
    """The answers that one connection keeps until they are sent."""

    def __init__(self, keeper: AnswerKeeper, owner: Owner) -> None:
        """Start without answers.

        :param owner: the connection.
        """
        self.is_full = False
        self._keeper = keeper
        self._owner = owner
        self._transport: LingeringTransport | None = None
        self._responses: set[web.StreamResponse] = set()
        self._current: web.StreamResponse | None = None
        self._unsent = 0
        self._pace = Pace()
        self._timer: asyncio.TimerHandle | None = None

    def attach(self, transport: LingeringTransport) -> None:
        """Count what waits in the transport of the connection, too."""
        self._transport = transport

    def keep(self, response: web.StreamResponse) -> None:
        """Count an answer that is ready."""
        if response not in self._responses:
            self._responses.add(response)
            self._pace.added_bytes += count_bytes(response)
            if isinstance(response, AnswerResponse):
                response.note_written = self.update
        self.update()

    def begin(self, response: web.StreamResponse) -> None:
        """Note that an answer is now written."""
        self._current = response
        self.keep(response)

    def drop(self, response: web.StreamResponse) -> None:
        """Stop counting an answer that was written or failed.

        What of it still waits in the transport is counted.
        """
        self._current = None
        self._responses.discard(response)
        self.update()

    def close(self) -> None:
        """Stop counting: the connection is lost."""
        self._transport = None
        self._responses.clear()
        self.update()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def update(self) -> None:
        """Count again, and tell whether the connection keeps too much."""
        unsent = self._count_unsent()
        self._keeper.limit.kept_bytes += _count_long(unsent)
        self._keeper.limit.kept_bytes -= _count_long(self._unsent)
        self._unsent = unsent
        account = self._owner.account
        if account is not None:
            account.set(Holding.answer, unsent)
        if unsent:
            self._keeper.memories.add(self)
            self._watch()
        else:
            self._keeper.memories.discard(self)
        is_full = unsent > _MAX_UNSENT_BYTES
        if is_full is not self.is_full:
            self.is_full = is_full
            if self._transport is not None:
                self._owner.hold(is_full)

    def estimate_cost(self, now: float) -> float:
        """Return bytes kept times seconds; 0 if the connection may stay."""
        sending_s = self._pace.sending_s + now - self._pace.checked_at
        is_long = self._unsent > FREE_ANSWER_BYTES
        if self._is_sending and is_long and sending_s > _MAX_CROWDED_S:
            return self._unsent * sending_s
        return 0

    def end(self, cause: EndCause) -> None:
        """End the connection at once."""
        account = self._owner.account
        if account is not None:
            account.end(cause)
        self.close()

    @property
    def _is_sending(self) -> bool:
        """Tell whether it is the caller's turn, not a server's."""
        return self._current is not None or self._count_queued() > 0

    def _count_unsent(self) -> int:
        unwritten = sum(map(count_unwritten, self._responses))
        return unwritten + self._count_queued()

    def _count_queued(self) -> int:
        if self._transport is None:
            return 0
        return int(self._transport.get_write_buffer_size())

    def _watch(self) -> None:
        if self._timer is not None or self._transport is None:
            return
        loop = asyncio.get_running_loop()
        self._pace.checked_at = loop.time()
        self._timer = loop.call_later(_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        transport = self._transport
        if transport is None:
            return
        now = asyncio.get_running_loop().time()
        outstanding = self._count_unsent() + transport.count_unconfirmed()
        self._pace.note(outstanding, now, is_sending=self._is_sending)
        if self._pace.is_too_slow:
            self.end(EndCause.unread)
            return
        self.update()
        if not self._unsent:
            self._pace = Pace()


def _count_long(unsent: int) -> int:
    return max(0, unsent - FREE_ANSWER_BYTES)
