"""Blocks of client addresses."""

from collections.abc import Iterable

from crocusshunt.core import IPAddress, parse_network
from crocusshunt.routing import Block


class BlockTable:
    """Finds the region of a client by its longest matching block.

    >>> from ipaddress import ip_address
    >>> table = BlockTable((Block('b', '10.1.0.0/16', 'addis'),))
    >>> table.find_region(ip_address('10.1.2.3'))
    'addis'
    """

    def __init__(self, blocks: Iterable[Block]) -> None:
        """Index checked blocks."""
        self._regions: dict[tuple[int, int, int], str] = {}
        for block in blocks:
            network = parse_network(block.prefix).unwrap()
            first = int(network.network_address)
            place = (network.version, network.prefixlen, first)
            self._regions[place] = block.region
        self._lengths = tuple(
            sorted({place[:2] for place in self._regions}, reverse=True),
        )

    def find_region(self, client: IPAddress) -> str:
        """Return the region of a client, empty if no block holds it."""
        number = int(client)
        bits = client.max_prefixlen
        for version, length in self._lengths:
            if version != client.version:
                continue
            host_bits = bits - length
            first = (number >> host_bits) << host_bits
            region = self._regions.get((version, length, first))
            if region is not None:
                return region
        return ''
