"""Lines written to a file descriptor without ever waiting for its reader."""

import os
import stat
import time
from collections.abc import Callable

import msgspec

_LINES_PER_S = 400
_MAX_SAVED_LINES = 800
_DROPPED_EVENT = 'log lines dropped'


class LineSink:
    """A text stream that drops lines instead of blocking.

    Lines beyond a rate, and those that the reader does not take, are
    counted; the next line that gets through is preceded by one that tells
    how many are missing.
    """

    def __init__(
        self,
        descriptor: int,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Write to an open descriptor; a pipe is made non-blocking."""
        self._descriptor = descriptor
        self._monotonic = monotonic
        self._saved: float = _MAX_SAVED_LINES
        self._filled_at = monotonic()
        self._rest = b''
        self._unreported = 0
        self.dropped = 0
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or count it as dropped."""
        if self._spend() and self._send(self._prefix() + text.encode()):
            self._unreported = 0
        else:
            self.dropped += 1
            self._unreported += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: each line was handed over, or counted."""

    def _spend(self) -> bool:
        now = self._monotonic()
        earned = _LINES_PER_S * (now - self._filled_at)
        self._saved = min(_MAX_SAVED_LINES, self._saved + earned)
        self._filled_at = now
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def _prefix(self) -> bytes:
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
        """Hand bytes over; keep the rest of a line that was begun."""
        try:
            if self._rest:
                written = os.write(self._descriptor, self._rest)
                self._rest = self._rest[written:]
            if self._rest:
                return False
            written = os.write(self._descriptor, content)
        except OSError:
            # The reader is slow or gone; the line is counted as dropped.
            return False
        self._rest = content[written:]
        return True
