"""Comparison of the block table with a linear search."""

from ipaddress import IPv4Network, IPv6Network, ip_address
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.core import IPAddress, IPNetwork
from crocusshunt.routing import AddressBlock
from crocusshunt.steering import BlockTable, PrefixMap

_REGIONS = ('addis', 'dire', 'bahir')
_SEED = 3
_IPV4_BASE = int(ip_address('10.0.0.0'))
_IPV6_BASE = int(ip_address('2001::'))


@st.composite
def _networks(draw: st.DrawFn) -> IPNetwork:
    """Generate networks that are close together, so that some are nested."""
    if draw(st.booleans()):
        length = draw(st.integers(8, 32))
        first = _IPV4_BASE + draw(st.integers(0, 0xFFFF))
        return IPv4Network((first, length), strict=False)
    length = draw(st.integers(16, 128))
    last_bits = draw(st.integers(0, 0xFFFF))
    middle = draw(st.integers(0, 3)) << 64
    return IPv6Network((_IPV6_BASE + middle + last_bits, length), strict=False)


_edits = st.lists(
    st.tuples(_networks(), st.sampled_from(_REGIONS), st.booleans()),
    max_size=30,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(_edits, st.integers(0, 0xFFFF))
def test_longest_prefix_wins_after_any_edits(
    edits: list[tuple[IPNetwork, str, bool]],
    last_bits: int,
) -> None:
    """Incremental updates give the same result as a search of all blocks."""
    table = BlockTable()
    reference: dict[IPNetwork, str] = {}
    for edited, region, is_put in edits:
        if is_put:
            table.put(AddressBlock('b', str(edited), region))
            reference[edited] = region
        else:
            table.remove(AddressBlock('b', str(edited), region))
            reference.pop(edited, None)
    clients = [
        ip_address(_IPV4_BASE + last_bits),
        ip_address(_IPV6_BASE + last_bits),
        *(network.broadcast_address for network in reference),
    ]
    for client in clients:
        expected = _find_longest_match(reference, client)
        assert table.find_region(client) == expected


def _find_longest_match(
    reference: dict[IPNetwork, str], client: IPAddress
) -> str:
    matching = [
        block
        for block in reference
        if block.version == client.version and client in block
    ]
    if not matching:
        return ''
    return reference[max(matching, key=lambda one: one.prefixlen)]


def test_chunks_are_split_and_removed() -> None:
    """Networks that need several chunks are all found, then all removed."""
    random = Random(_SEED)
    keys = random.sample(range(1 << 32), 20_000)
    prefixes = PrefixMap('I')
    for key in keys:
        prefixes.put(key, key % 450)
    assert len(prefixes) == len(keys)
    assert all(prefixes.get(key) == key % 450 for key in keys)
    for key in keys:
        prefixes.remove(key)
    assert len(prefixes) == 0
    assert prefixes.get(keys[0]) is None
