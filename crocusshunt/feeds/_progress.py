"""How far the answer to a call has come."""

from dataclasses import dataclass

from crocusshunt.core import Clock


@dataclass(slots=True)
class CallProgress:
    """Bytes of the answer to one call that have come so far.

    :param progressed_at: when the last of them came, monotonic seconds.

    >>> from crocusshunt.core import SystemClock
    >>> progress = CallProgress(SystemClock())
    >>> progress.note(1_400)
    >>> progress.note(600)
    >>> progress.received_bytes
    2000
    """

    clock: Clock
    received_bytes: int = 0
    progressed_at: float = float('-inf')

    def note(self, size: int) -> None:
        """Record that a part of the answer came.

        :param size: in bytes.
        """
        self.received_bytes += size
        self.progressed_at = self.clock.monotonic()
