"""How many customers messages about leases name."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from crocusshunt.fleet._messages import encode
from crocusshunt.fleet._parts import MAX_DATAGRAM_BYTES, MAX_PARTS_COUNT

# Space for numbers that are longer in the message that is sent, and for what
# encloses its customers.
_RESERVED_BYTES = 40
# Turns to all hosts; who was not named for so long comes first.
_REMEMBERED_TURN_COUNT = 10_000


def measure_lease_space(message: msgspec.Struct) -> int:
    """Return the space for customers in a message without any, in bytes."""
    return MAX_DATAGRAM_BYTES - _RESERVED_BYTES - len(encode(message))


def measure_name(name: str) -> int:
    """Return the length of a name in a message, in bytes."""
    return len(msgspec.msgpack.encode(name))


@dataclass(slots=True)
class LeaseTurns:
    """Which customers messages to other hosts name, where not all fit.

    Those that were not named for the longest time come first.

    >>> turns = LeaseTurns()
    >>> turns.split('h1', ('c1', 'c2', 'c3'), space=6)
    [('c1', 'c2'), ('c3',)]
    >>> names = [f'c{number}' for number in range(1, 8)]
    >>> turns.split('h1', names, space=3)
    [('c1',), ('c2',), ('c3',), ('c4',)]
    >>> turns.split('h1', names, space=3)
    [('c5',), ('c6',), ('c7',), ('c1',)]
    """

    _turn: int = 0
    # Turn in which each was named last, by host.
    _named: dict[str, dict[str, int]] = field(default_factory=dict)

    def split(
        self, host: str, names: Iterable[str], space: int, added_bytes: int = 0
    ) -> list[tuple[str, ...]]:
        """Return the customers that each message to a host names now.

        A name that no message has space for is never told.

        :param space: of the names in a message, in bytes.
        :param added_bytes: what each name has beside it.
        """
        sizes = {name: measure_name(name) + added_bytes for name in names}
        named = self._named.get(host, {})
        listed = sorted(
            (name for name, size in sizes.items() if size <= space),
            key=lambda name: (named.get(name, 0), name),
        )
        parts = _divide(listed, sizes, space)
        told = [name for part in parts for name in part]
        if len(told) < len(listed):
            self._note(host, told)
        return parts

    def _note(self, host: str, told: Iterable[str]) -> None:
        self._turn += 1
        oldest = self._turn - _REMEMBERED_TURN_COUNT
        named = {
            name: turn
            for name, turn in self._named.get(host, {}).items()
            if turn > oldest
        }
        self._named[host] = {**named, **dict.fromkeys(told, self._turn)}


def _divide(
    names: Sequence[str], sizes: dict[str, int], space: int
) -> list[tuple[str, ...]]:
    """Return the names of each message, in their order."""
    parts: list[tuple[str, ...]] = []
    left = 0
    for name in names:
        if sizes[name] > left:
            if len(parts) == MAX_PARTS_COUNT:
                break
            parts.append(())
            left = space
        parts[-1] = (*parts[-1], name)
        left -= sizes[name]
    return parts
