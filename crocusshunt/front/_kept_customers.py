"""Customers whose bucket this host keeps, as other hosts are told."""

from collections.abc import Sequence
from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.fleet import KeptRange, measure_lease_space, measure_name
from crocusshunt.sharing import NO_STAMP, HeldLeases

# More names leave no space in a message for what else it tells.
_MAX_LIST_BYTES = 500


@dataclass(slots=True)
class KeptCustomers:
    """Tells which customers' buckets this host keeps.

    A host that is told ends its leases of all others, so it gets all names or
    a range in which none is missing, never a list that was cut.

    >>> from crocusshunt.core import ManualClock
    >>> held = HeldLeases()
    >>> kept = KeptCustomers('h1', held, ManualClock(5))
    >>> held.keep('court', now=4)
    >>> kept.tell()
    (5, ('court',))
    >>> for number in range(200):
    ...     held.keep(f'court-{number:03}', now=4)
    >>> kept.tell()
    (0, ())
    >>> [kept.tell_range().until for _turn in range(2)]
    ['court-133', '']
    """

    own_name: str
    held: HeldLeases
    clock: Clock
    _first: str = ''

    def tell(self) -> tuple[float, tuple[str, ...]]:
        """Return a stamp and all names, no stamp if these are too many.

        Without a stamp a message ends no lease, whatever names it has.
        """
        kept = self.held.kept
        if sum(map(measure_name, kept)) > _MAX_LIST_BYTES:
            return NO_STAMP, ()
        return self.clock.boottime(), kept

    def tell_range(self) -> KeptRange | None:
        """Return the next range of the names, None if its first is too long.

        The leases of a name that is told nowhere end by their time.
        """
        first = self._first
        empty = KeptRange(self.own_name, self.clock.boottime(), (), first)
        left = measure_lease_space(empty)
        listed = [name for name in self.held.kept if name >= first]
        count = _count_fitting(listed, left)
        if left < 0 or (listed and not count):
            self._first = next(iter(listed[1:]), '')
            return None
        self._first = next(iter(listed[count:]), '')
        return KeptRange(
            self.own_name,
            empty.stamp,
            tuple(listed[:count]),
            first,
            self._first,
        )


def _count_fitting(names: Sequence[str], space: int) -> int:
    """Return how many of the first names fit beside the name that follows.

    :param space: in bytes.
    """
    left = space
    for number, name in enumerate(names):
        left -= measure_name(name)
        following = names[number + 1 : number + 2]
        if left < sum(map(measure_name, following)):
            return number
    return len(names)
