"""Share of a pool's requests that shifts send to other regions."""

from collections import Counter
from collections.abc import Iterable, Mapping

from crocusshunt.configuration import Configuration
from crocusshunt.routing import Pool
from crocusshunt.shifts import RegionShare, find_region_shares


class RegionSplit:
    """Names the region that the next request of a pool belongs to.

    Of the requests of a pool so far, never more than the share went to a
    region. It is counted and not drawn at random, which would overshoot.

    >>> split = RegionSplit('addis')
    >>> split.replace({'verify': (RegionShare('dire', 0.25),)})
    >>> for _ in range(8):
    ...     split.commit('verify', split.choose('verify'))
    >>> split.count('verify', 'dire')
    2
    """

    def __init__(self, region: str) -> None:
        """Start without shifts.

        :param region: region of this host.
        """
        self._region = region
        self._shares: Mapping[str, tuple[RegionShare, ...]] = {}
        self._counts: dict[str, Counter[str]] = {}

    def follow(self, configuration: Configuration) -> None:
        """Take the shares of a configuration that came into force."""
        tables = configuration.tables
        found = {
            pool.name: find_region_shares(tables, pool.name, self._region)
            for pool in tables.select(Pool)
        }
        self.replace({pool: one for pool, one in found.items() if one})

    def replace(self, shares: Mapping[str, Iterable[RegionShare]]) -> None:
        """Take other shares; pools whose shares changed count afresh."""
        taken = {pool: tuple(found) for pool, found in shares.items()}
        self._counts = {
            pool: counts
            for pool, counts in self._counts.items()
            if taken.get(pool) == self._shares.get(pool)
        }
        self._shares = taken

    def choose(self, pool: str) -> str:
        """Return the region whose servers come first for a request."""
        counts = self._counts.get(pool, Counter())
        total = counts.total() + 1
        for share in self._shares.get(pool, ()):
            if counts[share.region] + 1 <= share.share * total:
                return share.region
        return self._region

    def commit(self, pool: str, region: str) -> None:
        """Count a request where it went."""
        if pool in self._shares:
            self._counts.setdefault(pool, Counter())[region] += 1

    def count(self, pool: str, region: str) -> int:
        """Return how many requests went to a region under these shares."""
        return self._counts.get(pool, Counter())[region]
