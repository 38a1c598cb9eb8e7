"""How far the answer to a call has come."""

import asyncio
from dataclasses import dataclass

from crocusshunt.core import Clock

# An answer of this size takes long enough on a narrow link that another host's
# compressed copy may be here sooner.
LARGE_ANSWER_BYTES = 65_536


@dataclass(slots=True)
class CallProgress:
    """Bytes of the answer to one call that have come so far.

    :param progressed_at: when the last of them came, or the call began,
        monotonic seconds.
    :param hold_s: time for which a large answer is left with its sender, in
        seconds, since another host may bring the same sooner.
    :param max_bytes: an answer that is larger is not read.
    :param has_begun: whether an answer has begun.
    :param is_large: whether that is a large one.
    :param is_held: whether the rest of the answer is left there now.

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
    hold_s: float = 0
    max_bytes: float = float('inf')
    has_begun: bool = False
    is_large: bool = False
    is_held: bool = False

    def __post_init__(self) -> None:
        """Count from now."""
        self.progressed_at = self.clock.monotonic()

    @property
    def quiet_s(self) -> float:
        """Return the time since something came, in seconds."""
        return self.clock.monotonic() - self.progressed_at

    def note(self, size: int) -> None:
        """Record that a part of the answer came.

        :param size: in bytes.
        """
        self.received_bytes += size
        self.progressed_at = self.clock.monotonic()

    async def begin(self, size: int) -> bool:
        """Record that an answer begins; return once it is to be read.

        :param size: of the whole answer in bytes, 0 if it is unknown.
        :return: whether to read it at all.
        """
        self.note(0)
        self.has_begun = True
        if size > self.max_bytes:
            return False
        self.is_large = size >= LARGE_ANSWER_BYTES
        if self.is_large and self.hold_s:
            await self._hold()
        return True

    async def _hold(self) -> None:
        """Leave the answer with its sender, only once in a call."""
        seconds = self.hold_s
        self.hold_s = 0
        self.is_held = True
        try:
            await asyncio.sleep(seconds)
        finally:
            self.is_held = False
            self.note(0)
