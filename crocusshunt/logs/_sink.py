"""Non-blocking writer of lines to a file descriptor, with a rate limit."""

import os
import stat
import time
from collections.abc import Callable

import msgspec

_LINES_PER_S = 400
_BURST_LINES = 800
_DROPPED_EVENT = 'log lines dropped'


class LineSink:
    """Text stream that drops lines instead of blocking.

    A token bucket limits the rate of lines. Lines beyond that rate, and lines
    that the descriptor does not accept, are dropped and counted; the next
    line that is written follows one that tells how many were dropped.
    """

    def __init__(
        self,
        descriptor: int,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a stream; a pipe or socket is set to non-blocking mode.

        :param descriptor: open file descriptor to write to.
        :param monotonic: clock, in seconds.
        """
        self._descriptor = descriptor
        self._monotonic = monotonic
        self._tokens: float = _BURST_LINES
        self._refilled_at = monotonic()
        self._unsent = b''
        self._unreported = 0
        self.dropped = 0
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or drop and count it."""
        if self._take_token() and self._send(
            self._format_drop_notice() + text.encode()
        ):
            self._unreported = 0
        else:
            self.dropped += 1
            self._unreported += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""

    def close(self) -> None:
        """Do nothing: the descriptor belongs to the caller."""

    def _take_token(self) -> bool:
        now = self._monotonic()
        earned = _LINES_PER_S * (now - self._refilled_at)
        self._tokens = min(_BURST_LINES, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _format_drop_notice(self) -> bytes:
        if not self._unreported:
            return b''
        notice = {
            'time': time.time(),
            'level': 'warning',
            'event': _DROPPED_EVENT,
            'lines': self._unreported,
        }
        return b'%s\n' % msgspec.json.encode(notice)

    def _send(self, content: bytes) -> bool:
        """Write bytes; keep the unwritten rest of a line for the next call."""
        try:
            if self._unsent:
                written = os.write(self._descriptor, self._unsent)
                self._unsent = self._unsent[written:]
            if self._unsent:
                return False
            written = os.write(self._descriptor, content)
        except OSError:
            # The reader is slow or gone: the caller counts the line as dropped.
            return False
        self._unsent = content[written:]
        return True
