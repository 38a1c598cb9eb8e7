"""What answers that are fetched before their turn may take of a connection."""

from contextvars import Context, copy_context
from dataclasses import dataclass

from crocusshunt.upstream import ANSWER_SHARE

# Such answers of a connection together; what is longer waits for its turn.
_MAX_EARLY_BYTES = 3_000_000


@dataclass(slots=True)
class EarlyShares:
    """The answers of a connection that are fetched before their turn.

    >>> shares = EarlyShares(max_bytes=100)
    >>> first, second = shares.open(), shares.open()
    >>> [first.admit(60), second.admit(40), second.admit(41)]
    [True, True, False]
    >>> second.end()
    >>> [second.admit(41), first.admit(100), first.admit(101)]
    [True, True, False]
    """

    max_bytes: int = _MAX_EARLY_BYTES
    used_bytes: int = 0

    def open(self) -> 'EarlyShare':
        """Return the share of a request that is begun early."""
        return EarlyShare(self)


@dataclass(slots=True)
class EarlyShare:
    """The answer to a request that was begun early."""

    _shares: EarlyShares
    _bytes: int = 0
    _is_early: bool = True

    def admit(self, size: int) -> bool:
        """Tell whether the answer may be so many bytes long now."""
        if not self._is_early:
            return True
        shares = self._shares
        if shares.used_bytes - self._bytes + size > shares.max_bytes:
            return False
        shares.used_bytes += size - self._bytes
        self._bytes = size
        return True

    def end(self) -> None:
        """Note that it's the turn of the answer, or that it isn't needed."""
        self._shares.used_bytes -= self._bytes
        self._bytes = 0
        self._is_early = False

    def create_context(self) -> Context:
        """Return a context of tasks that are for this answer."""
        context = copy_context()
        context.run(ANSWER_SHARE.set, self)
        return context
