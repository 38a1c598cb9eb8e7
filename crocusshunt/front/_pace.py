"""How fast callers take their answers, and how fast they have to."""

from dataclasses import dataclass

# Connections that take nothing for longer are ended; no deadline is longer.
_MAX_STALL_S = 30
# Longest time for all answers that wait at once, and lowest rate beyond it.
_MAX_SENDING_S = 60
_MIN_BYTES_PER_S = 4096


@dataclass(slots=True)
class Pace:
    """How fast a caller takes its answers.

    :param added_bytes: of all answers since none was kept.
    :param sending_s: time for which it could take some, in seconds.
    :param stalled_s: time of this since it took some, in seconds.
    """

    added_bytes: int = 0
    sending_s: float = 0
    stalled_s: float = 0
    checked_at: float = 0
    _taken_bytes: int = 0

    def note(self, outstanding: int, now: float, *, is_sending: bool) -> None:
        """Note how many bytes the caller has not received."""
        passed_s = now - self.checked_at if is_sending else 0
        self.checked_at = now
        self.sending_s += passed_s
        self.stalled_s += passed_s
        taken_bytes = self.added_bytes - outstanding
        if taken_bytes > self._taken_bytes or not is_sending:
            self.stalled_s = 0
        self._taken_bytes = max(self._taken_bytes, taken_bytes)

    @property
    def is_too_slow(self) -> bool:
        """Tell whether the connection is to be ended."""
        most_s = _MAX_SENDING_S + self.added_bytes / _MIN_BYTES_PER_S
        return self.stalled_s > _MAX_STALL_S or self.sending_s > most_s
