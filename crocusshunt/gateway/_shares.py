"""Split of a pool's requests between regions, as shifts demand it."""

from collections import Counter
from collections.abc import Iterable, Mapping

from crocusshunt.configuration import Configuration
from crocusshunt.routing import Pool
from crocusshunt.shifts import RegionShare, find_region_shares


class RegionSplit:
    """Chooses the region whose servers a request is sent to first.

    At any time, the part of a pool's requests that went to another region
    is at most the share that a shift gives that region. The choice is made
    by counts, since random draws would at times exceed the share.

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

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use the shares of a configuration that came into force."""
        tables = configuration.tables
        found = {
            pool.name: find_region_shares(tables, pool.name, self._region)
            for pool in tables.select(Pool)
        }
        self.replace({pool: one for pool, one in found.items() if one})

    def replace(self, shares: Mapping[str, Iterable[RegionShare]]) -> None:
        """Replace all shares; pools whose shares changed count from zero."""
        new_shares = {pool: tuple(found) for pool, found in shares.items()}
        self._counts = {
            pool: counts
            for pool, counts in self._counts.items()
            if new_shares.get(pool) == self._shares.get(pool)
        }
        self._shares = new_shares

    def choose(self, pool: str) -> str:
        """Return the region to which the next request should be sent."""
        counts = self._counts.get(pool, Counter())
        total = counts.total() + 1
        for share in self._shares.get(pool, ()):
            if counts[share.region] + 1 <= share.share * total:
                return share.region
        return self._region

    def commit(self, pool: str, region: str) -> None:
        """Count a request for the region to which it was sent."""
        if pool in self._shares:
            self._counts.setdefault(pool, Counter())[region] += 1

    def count(self, pool: str, region: str) -> int:
        """Return the number of requests sent to a region under these shares."""
        return self._counts.get(pool, Counter())[region]
