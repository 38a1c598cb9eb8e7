"""What counts against the limits on one connection."""

import asyncio
from collections.abc import Callable, Collection
from typing import Any, Protocol

from crocusshunt.front._connection_times import ConnectionTimes, TimedConnection
from crocusshunt.front._ingress import Ingress, Port
from crocusshunt.front._waiting_heads import WaitingHeads
from crocusshunt.ingress import EndCause, Holding

# Parts of requests that are parsed without drawing on the budget of the host:
# at first, and after each response.
_FREE_STEP_COUNT = 256
_MAX_FREE_STEP_COUNT = 4096
# A part of so many bytes takes no more time than reading them.
_BYTES_PER_FREE_STEP = 1024


class BoundedConnection(TimedConnection, Protocol):
    """A connection that counts against limits."""

    @property
    def peername(self) -> Any:
        """Return the address of the peer, None if it is not known any more."""

    @property
    def is_in_body(self) -> bool:
        """Tell whether more of a request's body must come from the caller."""


class ConnectionBounds:
    """Counts what one connection makes the host keep, and ends it.

    It counts from its creation until ``close``.
    """

    def __init__(
        self,
        connection: BoundedConnection,
        port: Port,
        ingress: Ingress,
        abort: Callable[[], None],
    ) -> None:
        """Count a new connection, for which another one may have to go.

        :param abort: closes it at once, and drops what is unsent.
        """
        self._connection = connection
        self._port = port
        self._ingress = ingress
        self._abort = abort
        self._loop = asyncio.get_running_loop()
        self._roster = ingress.rosters[port]
        self._heads = WaitingHeads()
        self._free_steps = _FREE_STEP_COUNT
        self._received_at = self._loop.time()
        self.account = ingress.ledger.open(self._end)
        self.times = ConnectionTimes(
            connection,
            self._loop,
            ingress.find_limits_getter(port),
            self.account.end,
        )
        now = self._loop.time()
        is_full = self._roster.is_full
        chosen = self._choose_other(now) if is_full else None
        self._roster.add(self, now)
        if is_full:
            (chosen or self).account.end(EndCause.connections)

    @property
    def is_idle(self) -> bool:
        """Tell whether no request has begun and no answer is unsent."""
        return self._connection.is_idle

    def close(self) -> None:
        """Count nothing of the connection any more."""
        self._roster.drop(self)
        self.account.close()
        self.times.stop()

    def note_received(
        self, kept: int, waiting: Collection[tuple[Any, Any]]
    ) -> None:
        """Count what was received and isn't part of a body under way.

        :param kept: bytes that are still to be parsed.
        :param waiting: requests that have not begun, with their pieces.
        """
        self._received_at = self._loop.time()
        if waiting:
            self._roster.note_busy(self)
        self.measure(kept, waiting)
        self.times.note_head()

    def note_response(
        self, kept: int, waiting: Collection[tuple[Any, Any]]
    ) -> None:
        """Note that a response was written.

        :param kept: bytes that are still to be parsed.
        :param waiting: requests that have not begun, with their pieces.
        """
        self._free_steps = max(self._free_steps, _FREE_STEP_COUNT)
        self.measure(kept, waiting)
        self.times.note_active()
        if not waiting:
            self._roster.note_idle(self, self._loop.time())
            self._loop.call_soon(self.times.note_head)

    def measure(self, kept: int, waiting: Collection[tuple[Any, Any]]) -> None:
        """Count again what isn't part of a body under way."""
        size = kept + self._heads.measure(waiting)
        self.account.set(Holding.received, size)

    def reserve_steps(self, count: int, size: int) -> float:
        """Return how long to wait before more is parsed, in seconds.

        :param count: parts of requests that have just been parsed.
        :param size: bytes that have just been received.
        """
        left = self._free_steps + size // _BYTES_PER_FREE_STEP - count
        self._free_steps = min(max(left, 0), _MAX_FREE_STEP_COUNT)
        if left >= 0:
            return 0
        return self._ingress.budget.reserve(-left, self._loop.time())

    def measure_stall(self) -> float:
        """Return the seconds since the last piece of a body that isn't whole.

        :return: 0 if no such body is read.
        """
        if not self._connection.is_in_body:
            return 0
        return self._loop.time() - self._received_at

    def _choose_other(self, now: float) -> 'ConnectionBounds | None':
        """Return the connection that goes for this one, None for this one."""
        chosen = self._roster.choose(_is_idle, now)
        if chosen is None:
            return self._roster.find_stalled(_measure_stall, now)
        return chosen

    def _end(self, cause: EndCause) -> None:
        caller = self._connection.peername
        address = caller[0] if isinstance(caller, tuple) else None
        self._ingress.note_end(self._port, cause, address)
        self.close()
        self._abort()


def _is_idle(bounds: ConnectionBounds) -> bool:
    return bounds.is_idle


def _measure_stall(bounds: ConnectionBounds) -> float:
    return bounds.measure_stall()
