"""Requests in flight at a host, and how long they may take during a stop."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

# A request may take so many times as long as expected.
_TIME_FACTOR = 2


@dataclass(slots=True)
class InFlight:
    """Requests in flight, and whether the host is stopping.

    :param busy: number of unanswered requests of each connection that has
        any.
    :param answer_by: when a stopping host must have answered all requests,
        monotonic seconds; infinite until it stops.
    """

    busy: dict[object, int] = field(default_factory=dict)
    is_stopping: bool = False
    answer_by: float = float('inf')
    # The same on the clock of the event loop, None until the host stops.
    _ends_at: float | None = None
    _timeouts: set[asyncio.Timeout] = field(default_factory=set)

    @property
    def count(self) -> int:
        """Return the number of requests in flight."""
        return sum(self.busy.values())

    def begin(self, connection: object) -> None:
        """Count a request of a connection."""
        self.busy[connection] = self.busy.get(connection, 0) + 1

    def end(self, connection: object) -> None:
        """Stop counting a request of a connection."""
        count = self.busy.pop(connection, 0) - 1
        if count > 0:
            self.busy[connection] = count

    def stop(self, answer_by: float, now: float) -> None:
        """End requests that are still unanswered at a point in time.

        :param answer_by: monotonic seconds.
        :param now: monotonic seconds.
        """
        self.is_stopping = True
        self.answer_by = answer_by
        self._ends_at = asyncio.get_running_loop().time() + answer_by - now
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(self._ends_at)

    def can_answer(
        self, expected_s: float, final_at: float, now: float
    ) -> bool:
        """Tell whether a request that is sent now can be answered in time.

        During a stop, one that probably cannot is refused instead of sent:
        its caller learns at once that it was not run. One whose own deadline
        comes first loses nothing by the stop.

        :param expected_s: expected time until the response, in seconds.
        :param final_at: deadline of the request, monotonic seconds.
        :param now: monotonic seconds.

        >>> in_flight = InFlight(is_stopping=True, answer_by=10)
        >>> in_flight.can_answer(1, final_at=20, now=7)
        True
        >>> in_flight.can_answer(2, final_at=20, now=7)
        False
        >>> in_flight.can_answer(2, final_at=9, now=7)
        True
        """
        if final_at < self.answer_by:
            return True
        return self.answer_by - now >= _TIME_FACTOR * expected_s

    @asynccontextmanager
    async def limit_time(self) -> AsyncIterator[asyncio.Timeout]:
        """Raise TimeoutError in a request that the end of a stop overtakes."""
        async with asyncio.timeout_at(self._ends_at) as timeout:
            self._timeouts.add(timeout)
            try:
                yield timeout
            finally:
                self._timeouts.discard(timeout)
