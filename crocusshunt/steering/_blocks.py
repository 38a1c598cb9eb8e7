"""Blocks of client addresses."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from crocusshunt.core import IPAddress, IPNetwork, parse_network
from crocusshunt.routing import AddressBlock
from crocusshunt.steering._prefixes import PrefixMap

_IPV4 = 4
_IPV6 = 6
_KEY_BITS = 64
_ADDRESS_BITS: Mapping[int, int] = {_IPV4: 32, _IPV6: 128}
_KEY_TYPES: Mapping[int, str] = {_IPV4: 'I', _IPV6: 'Q'}


class _LongPrefixes:
    """Networks of more than 64 bits, rare and kept in a dictionary."""

    def __init__(self) -> None:
        self._numbers: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._numbers)

    def get(self, key: int) -> int | None:
        return self._numbers.get(key)

    def put(self, key: int, number: int) -> None:
        self._numbers[key] = number

    def remove(self, key: int) -> None:
        self._numbers.pop(key, None)

    def measure_bytes(self) -> int:
        entry_bytes = 144
        return len(self._numbers) * entry_bytes


class BlockTable:
    """Finds the region of a client by its longest matching block.

    >>> from ipaddress import ip_address
    >>> table = BlockTable((AddressBlock('b', '10.1.0.0/16', 'addis'),))
    >>> table.find_region(ip_address('10.1.2.3'))
    'addis'
    """

    def __init__(self, blocks: Iterable[AddressBlock] = ()) -> None:
        """Index checked blocks."""
        self._sites: list[str] = []
        self._numbers: dict[str, int] = {}
        self._maps: dict[tuple[int, int], PrefixMap | _LongPrefixes] = {}
        self._searches: dict[int, tuple[_Search, ...]] = {
            _IPV4: (),
            _IPV6: (),
        }
        for block in blocks:
            self.put(block)

    def put(self, block: AddressBlock) -> None:
        """Add a block, or change its region."""
        network = parse_network(block.prefix).unwrap()
        self.put_network(network, block.region)

    def put_network(self, network: IPNetwork, site: str) -> None:
        """Add a network, or change its site."""
        place = (network.version, network.prefixlen)
        self.put_prefix(place, int(network.network_address), site)

    def put_prefix(
        self,
        place: tuple[int, int],
        first: int,
        site: str,
    ) -> None:
        """Add a network given by its first address.

        :param place: IP version and length of the prefix in bits.
        :param first: first address of the network, as a number.
        """
        number = self._numbers.setdefault(site, len(self._sites))
        if number == len(self._sites):
            self._sites.append(site)
        version, length = place
        if place not in self._maps:
            self._maps[place] = _create_map(version, length)
            self._searches[version] = self._list_searches(version)
        self._maps[place].put(_shorten(version, length, first), number)

    def remove(self, block: AddressBlock) -> None:
        """Remove a block; an absent one is passed over."""
        network = parse_network(block.prefix).unwrap()
        prefixes = self._maps.get((network.version, network.prefixlen))
        if prefixes is not None:
            first = int(network.network_address)
            key = _shorten(network.version, network.prefixlen, first)
            prefixes.remove(key)

    def find_region(self, client: IPAddress) -> str:
        """Return the region of a client, empty if no block holds it."""
        number = int(client)
        for search in self._searches[client.version]:
            key = (number >> search.host_bits) << search.zero_bits
            site = search.networks.get(key)
            if site is not None:
                return self._sites[site]
        return ''

    def update(
        self, before: Iterable[AddressBlock], after: Iterable[AddressBlock]
    ) -> None:
        """Replace some blocks by others, leaving all the rest as it is."""
        for gone in before:
            self.remove(gone)
        for block in after:
            self.put(block)

    def measure_bytes(self) -> int:
        """Return the memory held by the networks, in bytes."""
        return sum(one.measure_bytes() for one in self._maps.values())

    def count(self) -> int:
        """Return the number of networks."""
        return sum(len(one) for one in self._maps.values())

    def _list_searches(self, version: int) -> tuple['_Search', ...]:
        places = sorted(self._maps, reverse=True)
        return tuple(
            _create_search(place, self._maps[place])
            for place in places
            if place[0] == version
        )


@dataclass(frozen=True, slots=True)
class _Search:
    """How networks of one length are found.

    :param host_bits: bits of an address that do not belong to the network.
    :param zero_bits: zeros that follow the network's bits in its key.
    """

    networks: PrefixMap | _LongPrefixes
    host_bits: int
    zero_bits: int


def _create_search(
    place: tuple[int, int],
    networks: PrefixMap | _LongPrefixes,
) -> _Search:
    version, length = place
    host_bits = _ADDRESS_BITS[version] - length
    is_short = version == _IPV6 and length <= _KEY_BITS
    zero_bits = host_bits - _KEY_BITS if is_short else host_bits
    return _Search(networks, host_bits, zero_bits)


def _create_map(version: int, length: int) -> PrefixMap | _LongPrefixes:
    if length > _KEY_BITS:
        return _LongPrefixes()
    return PrefixMap(_KEY_TYPES[version])


def _shorten(version: int, length: int, first: int) -> int:
    """Return the part of a network's address that distinguishes it."""
    if version == _IPV6 and length <= _KEY_BITS:
        return first >> _KEY_BITS
    return first
