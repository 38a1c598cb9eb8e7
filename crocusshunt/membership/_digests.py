"""Digests to compare two tables of members without sending them."""

from hashlib import blake2b
from itertools import repeat

from crocusshunt.membership._precedence import digest_member
from crocusshunt.messages import Member

_PARTS = 64
_PART_BYTES = 2


class PartDigests:
    """Digest of each part of a table of members.

    The table is divided into 64 parts by a hash of the host's name. The digest
    of a part is the XOR of the digests of its members, so that a change needs
    no new pass over the table.

    >>> digests = PartDigests()
    >>> digests.toggle(Member('h1', 'addis', 'a', '', ''))
    >>> len(digests.find_differing(PartDigests().parts))
    1
    """

    def __init__(self) -> None:
        """Start with the digests of an empty table."""
        self._parts = list(repeat(0, _PARTS))

    @property
    def parts(self) -> tuple[int, ...]:
        """Return the digest of each part."""
        return tuple(self._parts)

    @property
    def whole(self) -> int:
        """Return the XOR of the digests of all parts."""
        combined = 0
        for part in self._parts:
            combined ^= part
        return combined

    def toggle(self, member: Member) -> None:
        """Add a member to its part, or remove one that was added."""
        self._parts[find_part(member.name)] ^= digest_member(member)

    def find_differing(self, parts: tuple[int, ...]) -> frozenset[int]:
        """Return the numbers of the parts in which two tables differ.

        :param parts: digests of the other table.
        """
        pairs = zip(parts, self._parts, strict=False)
        return frozenset(
            number for number, pair in enumerate(pairs) if pair[0] != pair[1]
        )


def find_part(name: str) -> int:
    """Return the number of the part that a host belongs to.

    :param name: name of the host.
    """
    digest = blake2b(name.encode(), digest_size=_PART_BYTES).digest()
    return int.from_bytes(digest, 'big') % _PARTS
