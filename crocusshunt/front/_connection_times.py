"""Bounds on the time for which a connection may be open without a request."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from crocusshunt.catalog import RequestLimits
from crocusshunt.ingress import EndCause

# A connection that is closed waits so long for its last bytes to leave.
_MAX_CLOSING_S = 60
# How often a connection is looked at, as a fraction of its longest idle time:
# the end of a response is seen so late, and callers use four fifths.
_CHECK_FRACTION = 0.1
# Sums of times are inexact: what is due may seem to lie ahead.
_MIN_STEP_S = 0.01


class TimedConnection(Protocol):
    """What is known of a connection whose time is bounded."""

    @property
    def is_idle(self) -> bool:
        """Tell whether no request has begun and no answer is unsent."""

    @property
    def is_in_head(self) -> bool:
        """Tell whether a head has begun that isn't whole."""

    @property
    def is_closed_by_host(self) -> bool:
        """Tell whether the connection is closing."""

    @property
    def is_delivered(self) -> bool:
        """Tell whether the peer has received all that was written."""


class ConnectionTimes:
    """Ends one connection when its time is over.

    A head must be whole within a time of its first byte, or of the moment when
    it is next on its connection. A connection may be idle for a time. After a
    stall, the loop may look at times before it reads what had come; so what is
    over is ended at a second look, before which the loop has read.
    """

    def __init__(
        self,
        connection: TimedConnection,
        loop: asyncio.AbstractEventLoop,
        get_limits: Callable[[], RequestLimits],
        end: Callable[[EndCause], None],
    ) -> None:
        """Begin with a connection that has just been opened.

        :param end: ends the connection.
        """
        self._connection = connection
        self._loop = loop
        self._get_limits = get_limits
        self._end = end
        self._active_at = loop.time()
        self._head_began_at: float | None = None
        self._closing_since: float | None = None
        self._undelivered_since: float | None = None
        # What was over at the last look.
        self._due_cause: EndCause | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._schedule(get_limits().header_timeout_s)

    def stop(self) -> None:
        """End nothing any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def note_active(self) -> None:
        """Note that a response was written."""
        self._active_at = self._loop.time()

    def note_head(self) -> None:
        """Look whether a head has begun that is next on its connection."""
        connection = self._connection
        if not (connection.is_in_head and connection.is_idle):
            self._head_began_at = None
        elif self._head_began_at is None:
            self._head_began_at = self._loop.time()
            if self._timer is not None:
                self._schedule(self._get_limits().header_timeout_s)

    def _schedule(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, self._check)

    def _check(self) -> None:
        self.note_head()
        now = self._loop.time()
        limits = self._get_limits()
        cause = self._find_cause(now, limits)
        is_confirmed = cause is self._due_cause
        self._due_cause = cause
        if cause is not None:
            if is_confirmed:
                self.stop()
                self._end(cause)
            else:
                self._schedule(_MIN_STEP_S)
            return
        step_s = limits.idle_timeout_s * _CHECK_FRACTION
        delay_s = min(limits.header_timeout_s, step_s)
        if self._head_began_at is not None:
            left_s = limits.header_timeout_s - (now - self._head_began_at)
            delay_s = left_s
        elif self._connection.is_idle:
            left_s = limits.idle_timeout_s - (now - self._active_at)
            delay_s = min(delay_s, left_s)
        self._schedule(max(_MIN_STEP_S, delay_s))

    def _find_cause(self, now: float, limits: RequestLimits) -> EndCause | None:
        if self._connection.is_closed_by_host:
            if self._closing_since is None:
                self._closing_since = now
            is_over = now - self._closing_since >= _MAX_CLOSING_S
            return EndCause.unread if is_over else None
        if self._head_began_at is not None:
            is_late = now - self._head_began_at >= limits.header_timeout_s
            return EndCause.head_timeout if is_late else None
        if not self._connection.is_idle:
            self._active_at = now
            return None
        if not self._connection.is_delivered:
            return self._note_undelivered(now)
        self._undelivered_since = None
        is_over = now - self._active_at >= limits.idle_timeout_s
        return EndCause.idle if is_over else None

    def _note_undelivered(self, now: float) -> EndCause | None:
        """Note that the peer has not received a response that was sent.

        Its time between requests begins when it has.
        """
        self._active_at = now
        if self._undelivered_since is None:
            self._undelivered_since = now
        is_over = now - self._undelivered_since >= _MAX_CLOSING_S
        return EndCause.unread if is_over else None
