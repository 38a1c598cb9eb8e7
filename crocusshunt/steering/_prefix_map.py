"""Memory-efficient maps from networks of one prefix length to integers."""

from array import array
from bisect import bisect_left, bisect_right
from sys import getsizeof

_MAX_CHUNK_ENTRIES = 4096


class PrefixMap:
    """Maps integer keys to 16-bit unsigned values in sorted arrays.

    The arrays are divided into chunks, so an insertion or removal moves the
    entries of one chunk only.

    >>> prefixes = PrefixMap('I')
    >>> prefixes.put(10, 3)
    >>> prefixes.get(10), prefixes.get(11)
    (3, None)
    """

    def __init__(self, key_type: str) -> None:
        """Create an empty map.

        :param key_type: ``array`` type code of the keys: ``I`` for 32-bit,
            ``Q`` for 64-bit keys.
        """
        self._key_type = key_type
        self._first_keys = array(key_type)
        self._keys: list[array[int]] = []
        self._values: list[array[int]] = []

    def __len__(self) -> int:
        """Return the number of networks."""
        return sum(len(chunk) for chunk in self._keys)

    def get(self, key: int) -> int | None:
        """Return the value of a network, None if it is absent."""
        chunk = bisect_right(self._first_keys, key) - 1
        if chunk < 0:
            return None
        keys = self._keys[chunk]
        index = bisect_left(keys, key)
        if index < len(keys) and keys[index] == key:
            return self._values[chunk][index]
        return None

    def put(self, key: int, value: int) -> None:
        """Add a network, or replace its value."""
        chunk = self._find_chunk(key)
        keys = self._keys[chunk]
        index = bisect_left(keys, key)
        if index < len(keys) and keys[index] == key:
            self._values[chunk][index] = value
            return
        keys.insert(index, key)
        self._values[chunk].insert(index, value)
        self._first_keys[chunk] = keys[0]
        if len(keys) > _MAX_CHUNK_ENTRIES:
            self._split(chunk)

    def remove(self, key: int) -> None:
        """Remove a network; does nothing if it is absent."""
        if self.get(key) is None:
            return
        chunk = self._find_chunk(key)
        index = bisect_left(self._keys[chunk], key)
        self._keys[chunk].pop(index)
        self._values[chunk].pop(index)
        if self._keys[chunk]:
            self._first_keys[chunk] = self._keys[chunk][0]
        else:
            self._remove_chunk(chunk)

    def measure_bytes(self) -> int:
        """Return the memory that the map occupies, in bytes."""
        arrays = (self._first_keys, *self._keys, *self._values)
        lists = (self._keys, self._values)
        return sum(getsizeof(one) for one in (*arrays, *lists))

    def _find_chunk(self, key: int) -> int:
        if not self._keys:
            self._insert_chunk(0, array(self._key_type), array('H'))
        return max(bisect_right(self._first_keys, key) - 1, 0)

    def _split(self, chunk: int) -> None:
        keys, values = self._keys[chunk], self._values[chunk]
        middle = len(keys) // 2
        self._insert_chunk(chunk + 1, keys[middle:], values[middle:])
        # Slices allocate exactly what they need; deleting entries in place
        # would keep the spare capacity of the array.
        self._keys[chunk] = keys[:middle]
        self._values[chunk] = values[:middle]

    def _insert_chunk(
        self,
        chunk: int,
        keys: 'array[int]',
        values: 'array[int]',
    ) -> None:
        self._first_keys.insert(chunk, keys[0] if keys else 0)
        self._keys.insert(chunk, keys)
        self._values.insert(chunk, values)

    def _remove_chunk(self, chunk: int) -> None:
        self._first_keys.pop(chunk)
        self._keys.pop(chunk)
        self._values.pop(chunk)
