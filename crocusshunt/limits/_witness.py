"""Witnesses of leases."""

from dataclasses import dataclass

from crocusshunt.limits._drift import add_drift
from crocusshunt.limits._lease import SUPPORT_S


@dataclass(slots=True)
class _Memory:
    epoch: int
    is_verified: bool = False
    supported_until: float = 0


class Witness:
    """Says which holder of each shard is supported, for a few seconds.

    It keeps nothing over a restart. A process that never heard of a shard
    reads the shard's row before it supports a holder, and counts a whole
    support from its start before it says that an earlier holder has none.

    >>> witness = Witness(started_at=0)
    >>> witness.record_epoch('0001', epoch=3)
    >>> witness.support('0001', epoch=3, now=5)
    True
    >>> round(witness.fence('0001', epoch=4, now=6), 3)
    3.004
    >>> witness.support('0001', epoch=3, now=6)
    False

    Reference: C. Gray, D. Cheriton, "Leases: an efficient fault-tolerant
    mechanism for distributed file cache consistency", SOSP 1989.
    """

    def __init__(self, started_at: float) -> None:
        """Start without memory.

        :param started_at: monotonic time in seconds.
        """
        self._ready_at = started_at + add_drift(SUPPORT_S)
        self._memories: dict[str, _Memory] = {}

    def is_row_needed(self, shard: str) -> bool:
        """Tell whether the shard's row must be read first."""
        memory = self._memories.get(shard)
        return memory is None or not memory.is_verified

    def record_epoch(self, shard: str, epoch: int) -> None:
        """Note the epoch of a row read after this process started."""
        memory = self._memories.setdefault(shard, _Memory(epoch))
        memory.epoch = max(memory.epoch, epoch)
        memory.is_verified = True

    def support(self, shard: str, epoch: int, now: float) -> bool:
        """Support a holder, unless a later one is known."""
        memory = self._memories.get(shard)
        if memory is None or not memory.is_verified:
            return False
        if epoch < memory.epoch:
            return False
        memory.epoch = epoch
        memory.supported_until = now + add_drift(SUPPORT_S)
        return True

    def fence(self, shard: str, epoch: int, now: float) -> float | None:
        """Never again support an earlier holder.

        Return the seconds until all earlier support is over, None if a later
        holder is known.
        """
        memory = self._memories.setdefault(shard, _Memory(epoch))
        if memory.epoch > epoch:
            return None
        memory.epoch = epoch
        return max(0, memory.supported_until - now, self._ready_at - now)
