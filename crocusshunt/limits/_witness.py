"""Witnesses, which support the holders of leases."""

from dataclasses import dataclass

from crocusshunt.limits._drift import add_drift
from crocusshunt.limits._lease import SUPPORT_S


@dataclass(slots=True)
class _ShardState:
    epoch: int
    is_verified: bool = False
    supported_until: float = 0


class Witness:
    """Supports one lease holder of each shard, for a few seconds at a time.

    A witness never supports an epoch below the highest that it knows. It
    stores nothing across a restart. So a new process first reads the shard's
    row before it supports a holder, and assumes that its predecessor granted
    support until just before the start: for one support duration after its
    start it reports that earlier support is still valid.

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
        """Start without knowledge of any shard.

        :param started_at: monotonic time in seconds.
        """
        self._ready_at = started_at + add_drift(SUPPORT_S)
        self._shards: dict[str, _ShardState] = {}

    def is_row_needed(self, shard: str) -> bool:
        """Tell whether the shard's row must be read before any support."""
        state = self._shards.get(shard)
        return state is None or not state.is_verified

    def record_epoch(self, shard: str, epoch: int) -> None:
        """Record the epoch of a row read after this process started."""
        state = self._shards.setdefault(shard, _ShardState(epoch))
        state.epoch = max(state.epoch, epoch)
        state.is_verified = True

    def support(self, shard: str, epoch: int, now: float) -> bool:
        """Support a holder, unless a later epoch is known.

        Return whether the holder is supported. Support lasts for
        ``SUPPORT_S`` seconds.
        """
        state = self._shards.get(shard)
        if state is None or not state.is_verified:
            return False
        if epoch < state.epoch:
            return False
        state.epoch = epoch
        state.supported_until = now + add_drift(SUPPORT_S)
        return True

    def fence(self, shard: str, epoch: int, now: float) -> float | None:
        """Refuse support to all holders of earlier epochs from now on.

        Return the seconds until all support already given to them has ended,
        None if a later epoch is known.
        """
        state = self._shards.setdefault(shard, _ShardState(epoch))
        if state.epoch > epoch:
            return None
        state.epoch = epoch
        return max(0, state.supported_until - now, self._ready_at - now)
