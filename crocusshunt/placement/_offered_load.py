"""Load that a host's callers offer to each pool."""

from collections.abc import Collection
from dataclasses import dataclass, field

# Weight of the newest sample in the moving average.
_NEWEST_WEIGHT = 0.2
# Shorter samples hold too few requests.
_MIN_SAMPLE_S = 0.3


@dataclass(slots=True)
class _Load:
    sampled_since: float
    slot_seconds: float = 0
    samples: int = 0
    average: float = 0


@dataclass(slots=True)
class OfferedLoad:
    """Average number of slots that arriving requests need, by pool.

    This is the offered load of queueing theory: the arrival rate multiplied
    by the service time. Unlike the number of busy slots, it includes requests
    that were refused, and it is known from the first sample on: the average
    of the first samples is their mean.

    Load pattern: hosts that start, or start again, under full traffic in a
    region with few servers. An average that grows from zero says for seconds
    that the region's own servers suffice, and its callers are refused while
    servers of other regions are idle.

    Reference: L. Kleinrock, Queueing Systems, volume 1, 1975.

    >>> load = OfferedLoad()
    >>> for number in range(100):
    ...     load.note('p', 0.05, now=number / 100)
    >>> load.measure(now=1)
    >>> round(load.averages['p'], 3)
    5.0
    """

    _loads: dict[tuple[str, str], _Load] = field(default_factory=dict)

    @property
    def averages(self) -> dict[str, float]:
        """Return the load by pool that servers of any region may serve."""
        return self._select('')

    @property
    def pinned(self) -> dict[str, dict[str, float]]:
        """Return the load that only one region may serve, by it and pool."""
        regions = {region for _pool, region in self._loads if region}
        return {region: self._select(region) for region in sorted(regions)}

    def count_samples(self, pool: str) -> int:
        """Return how often the load of a pool was measured."""
        return max(
            (
                load.samples
                for (name, _region), load in self._loads.items()
                if name == pool
            ),
            default=0,
        )

    def note(
        self,
        pool: str,
        service_s: float,
        now: float,
        regions: Collection[str] | None = None,
    ) -> None:
        """Count an arriving request.

        :param service_s: expected time of the request in a slot, in seconds.
        :param regions: the only regions that may serve it, None for all.
        """
        places = ('',) if regions is None else regions
        for region in places:
            load = self._loads.setdefault((pool, region), _Load(now))
            load.slot_seconds += service_s / len(places)

    def measure(self, now: float) -> None:
        """Update the averages by the requests since the last time."""
        for load in self._loads.values():
            elapsed_s = now - load.sampled_since
            if elapsed_s < _MIN_SAMPLE_S:
                continue
            load.samples += 1
            weight = max(_NEWEST_WEIGHT, 1 / load.samples)
            sample = load.slot_seconds / elapsed_s
            load.average += weight * (sample - load.average)
            load.slot_seconds = 0
            load.sampled_since = now

    def _select(self, region: str) -> dict[str, float]:
        return {
            pool: load.average
            for (pool, place), load in self._loads.items()
            if place == region and load.samples
        }
