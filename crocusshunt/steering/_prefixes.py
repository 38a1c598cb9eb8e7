"""Compact maps from the networks of one length to numbers."""

from array import array
from bisect import bisect_left, bisect_right
from sys import getsizeof

_CHUNK_ENTRIES = 4096


class PrefixMap:
    """Sorted arrays in chunks, so that one change moves one chunk only.

    >>> numbers = PrefixMap('I')
    >>> numbers.put(10, 3)
    >>> numbers.get(10), numbers.get(11)
    (3, None)
    """

    def __init__(self, key_type: str) -> None:
        """Start empty.

        :param key_type: type code of the keys' arrays, ``I`` or ``Q``.
        """
        self._key_type = key_type
        self._firsts = array(key_type)
        self._keys: list[array[int]] = []
        self._numbers: list[array[int]] = []

    def __len__(self) -> int:
        """Return the number of networks."""
        return sum(len(chunk) for chunk in self._keys)

    def get(self, key: int) -> int | None:
        """Return the number of a network, None where it is absent."""
        chunk = bisect_right(self._firsts, key) - 1
        if chunk < 0:
            return None
        keys = self._keys[chunk]
        place = bisect_left(keys, key)
        if place < len(keys) and keys[place] == key:
            return self._numbers[chunk][place]
        return None

    def put(self, key: int, number: int) -> None:
        """Add a network, or replace its number."""
        chunk = self._find_chunk(key)
        keys = self._keys[chunk]
        place = bisect_left(keys, key)
        if place < len(keys) and keys[place] == key:
            self._numbers[chunk][place] = number
            return
        keys.insert(place, key)
        self._numbers[chunk].insert(place, number)
        self._firsts[chunk] = keys[0]
        if len(keys) > _CHUNK_ENTRIES:
            self._split(chunk)

    def remove(self, key: int) -> None:
        """Remove a network; an absent one is passed over."""
        if self.get(key) is None:
            return
        chunk = self._find_chunk(key)
        place = bisect_left(self._keys[chunk], key)
        self._keys[chunk].pop(place)
        self._numbers[chunk].pop(place)
        if self._keys[chunk]:
            self._firsts[chunk] = self._keys[chunk][0]
        else:
            self._remove_chunk(chunk)

    def measure_bytes(self) -> int:
        """Return the memory held, in bytes."""
        arrays = (self._firsts, *self._keys, *self._numbers)
        lists = (self._keys, self._numbers)
        return sum(getsizeof(one) for one in (*arrays, *lists))

    def _find_chunk(self, key: int) -> int:
        if not self._keys:
            self._insert_chunk(0, array(self._key_type), array('H'))
        return max(bisect_right(self._firsts, key) - 1, 0)

    def _split(self, chunk: int) -> None:
        keys, numbers = self._keys[chunk], self._numbers[chunk]
        middle = len(keys) // 2
        self._insert_chunk(chunk + 1, keys[middle:], numbers[middle:])
        # Slices are exact copies; a deletion would keep the spare memory.
        self._keys[chunk] = keys[:middle]
        self._numbers[chunk] = numbers[:middle]

    def _insert_chunk(
        self,
        chunk: int,
        keys: 'array[int]',
        numbers: 'array[int]',
    ) -> None:
        self._firsts.insert(chunk, keys[0] if keys else 0)
        self._keys.insert(chunk, keys)
        self._numbers.insert(chunk, numbers)

    def _remove_chunk(self, chunk: int) -> None:
        self._firsts.pop(chunk)
        self._keys.pop(chunk)
        self._numbers.pop(chunk)
