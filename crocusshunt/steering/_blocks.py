"""Maps blocks of client addresses to regions."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from crocusshunt.core import IPAddress, IPNetwork, parse_network
from crocusshunt.routing import AddressBlock
from crocusshunt.steering._prefix_map import PrefixMap

_IPV4 = 4
_IPV6 = 6
# Maximum width of the integer keys of a PrefixMap.
_KEY_BITS = 64
_ADDRESS_BITS: Mapping[int, int] = {_IPV4: 32, _IPV6: 128}
# Type codes of the arrays that hold the keys, by IP version.
_KEY_TYPE_CODES: Mapping[int, str] = {_IPV4: 'I', _IPV6: 'Q'}


class _LongPrefixMap:
    """Maps networks with prefixes longer than 64 bits to region indexes.

    Such networks are rare, so a dictionary holds them.
    """

    def __init__(self) -> None:
        self._values: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._values)

    def get(self, key: int) -> int | None:
        return self._values.get(key)

    def put(self, key: int, value: int) -> None:
        self._values[key] = value

    def remove(self, key: int) -> None:
        self._values.pop(key, None)

    def measure_bytes(self) -> int:
        # Assumed memory of one dictionary entry with its key.
        entry_bytes = 144
        return len(self._values) * entry_bytes


class BlockTable:
    """Finds the region of a client by longest-prefix match over the blocks.

    Networks of the same IP version and prefix length share one map; a search
    tries the maps from the longest prefix to the shortest.

    >>> from ipaddress import ip_address
    >>> table = BlockTable((AddressBlock('b', '10.1.0.0/16', 'addis'),))
    >>> table.find_region(ip_address('10.1.2.3'))
    'addis'
    """

    def __init__(self, blocks: Iterable[AddressBlock] = ()) -> None:
        """Index blocks.

        :param blocks: blocks whose prefixes were validated before.
        """
        self._regions: list[str] = []
        self._region_indexes: dict[str, int] = {}
        self._maps: dict[tuple[int, int], PrefixMap | _LongPrefixMap] = {}
        self._searches: dict[int, tuple[_PrefixSearch, ...]] = {
            _IPV4: (),
            _IPV6: (),
        }
        for block in blocks:
            self.put(block)

    def put(self, block: AddressBlock) -> None:
        """Add a block, or change its region."""
        network = parse_network(block.prefix).unwrap()
        self.put_network(network, block.region)

    def put_network(self, network: IPNetwork, region: str) -> None:
        """Add a network, or change its region."""
        prefix_class = (network.version, network.prefixlen)
        self.put_prefix(prefix_class, int(network.network_address), region)

    def put_prefix(
        self,
        prefix_class: tuple[int, int],
        first_address: int,
        region: str,
    ) -> None:
        """Add a network given by its first address.

        :param prefix_class: IP version and length of the prefix in bits.
        :param first_address: first address of the network, as an integer.
        :param region: region of the clients in the network.
        """
        region_index = self._region_indexes.setdefault(
            region, len(self._regions)
        )
        if region_index == len(self._regions):
            self._regions.append(region)
        version, length = prefix_class
        if prefix_class not in self._maps:
            self._maps[prefix_class] = _create_map(version, length)
            self._searches[version] = self._list_searches(version)
        self._maps[prefix_class].put(
            _compute_key(version, length, first_address), region_index
        )

    def remove(self, block: AddressBlock) -> None:
        """Remove a block; does nothing if the table does not contain it."""
        network = parse_network(block.prefix).unwrap()
        prefixes = self._maps.get((network.version, network.prefixlen))
        if prefixes is not None:
            first_address = int(network.network_address)
            key = _compute_key(
                network.version, network.prefixlen, first_address
            )
            prefixes.remove(key)

    def find_region(self, client: IPAddress) -> str:
        """Return the region of a client, empty if no block contains it."""
        address = int(client)
        for search in self._searches[client.version]:
            key = (address >> search.host_bits) << search.zero_bits
            region_index = search.networks.get(key)
            if region_index is not None:
                return self._regions[region_index]
        return ''

    def update(
        self, before: Iterable[AddressBlock], after: Iterable[AddressBlock]
    ) -> None:
        """Replace some blocks by others and keep all other blocks.

        :param before: blocks to remove.
        :param after: blocks to add or change.
        """
        for removed in before:
            self.remove(removed)
        for block in after:
            self.put(block)

    def measure_bytes(self) -> int:
        """Return the memory that the networks occupy, in bytes."""
        return sum(one.measure_bytes() for one in self._maps.values())

    def count(self) -> int:
        """Return the number of networks."""
        return sum(len(one) for one in self._maps.values())

    def _list_searches(self, version: int) -> tuple['_PrefixSearch', ...]:
        prefix_classes = sorted(self._maps, reverse=True)
        return tuple(
            _create_prefix_search(prefix_class, self._maps[prefix_class])
            for prefix_class in prefix_classes
            if prefix_class[0] == version
        )


@dataclass(frozen=True, slots=True)
class _PrefixSearch:
    """Search parameters for the networks of one IP version and prefix length.

    :param networks: region indexes by network key.
    :param host_bits: number of address bits after the network prefix.
    :param zero_bits: number of zero bits after the network prefix in its key.
    """

    networks: PrefixMap | _LongPrefixMap
    host_bits: int
    zero_bits: int


def _create_prefix_search(
    prefix_class: tuple[int, int],
    networks: PrefixMap | _LongPrefixMap,
) -> _PrefixSearch:
    version, length = prefix_class
    host_bits = _ADDRESS_BITS[version] - length
    is_short = version == _IPV6 and length <= _KEY_BITS
    zero_bits = host_bits - _KEY_BITS if is_short else host_bits
    return _PrefixSearch(networks, host_bits, zero_bits)


def _create_map(version: int, length: int) -> PrefixMap | _LongPrefixMap:
    if length > _KEY_BITS:
        return _LongPrefixMap()
    return PrefixMap(_KEY_TYPE_CODES[version])


def _compute_key(version: int, length: int, first_address: int) -> int:
    """Return the key of a network in the map of its prefix class.

    IPv6 networks of at most 64 bits are identified by the upper 64 bits of
    their address; all other keys are the full address.
    """
    if version == _IPV6 and length <= _KEY_BITS:
        return first_address >> _KEY_BITS
    return first_address
