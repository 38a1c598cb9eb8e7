"""The table of blocks against a plain search."""

from ipaddress import IPv4Network, IPv6Network, ip_address
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.core import IPAddress, IPNetwork
from crocusshunt.routing import AddressBlock
from crocusshunt.steering import BlockTable, PrefixMap

_SITES = ('addis', 'dire', 'bahir')
_SEED = 3
_IPV4_BASE = int(ip_address('10.0.0.0'))
_IPV6_BASE = int(ip_address('2001::'))


@st.composite
def _networks(draw: st.DrawFn) -> IPNetwork:
    """Networks that lie close together, so that they nest."""
    if draw(st.booleans()):
        length = draw(st.integers(8, 32))
        first = _IPV4_BASE + draw(st.integers(0, 0xFFFF))
        return IPv4Network((first, length), strict=False)
    length = draw(st.integers(16, 128))
    last = draw(st.integers(0, 0xFFFF))
    middle = draw(st.integers(0, 3)) << 64
    return IPv6Network((_IPV6_BASE + middle + last, length), strict=False)


_edits = st.lists(
    st.tuples(_networks(), st.sampled_from(_SITES), st.booleans()),
    max_size=30,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(_edits, st.integers(0, 0xFFFF))
def test_longest_block_wins_after_any_edits(
    edits: list[tuple[IPNetwork, str, bool]],
    last: int,
) -> None:
    """Changes by difference give what a search of all blocks gives."""
    table = BlockTable()
    plain: dict[IPNetwork, str] = {}
    for edited, site, is_put in edits:
        if is_put:
            table.put(AddressBlock('b', str(edited), site))
            plain[edited] = site
        else:
            table.remove(AddressBlock('b', str(edited), site))
            plain.pop(edited, None)
    clients = [
        ip_address(_IPV4_BASE + last),
        ip_address(_IPV6_BASE + last),
        *(network.broadcast_address for network in plain),
    ]
    for client in clients:
        expected = _search(plain, client)
        assert table.find_region(client) == expected


def _search(plain: dict[IPNetwork, str], client: IPAddress) -> str:
    holding = [
        block
        for block in plain
        if block.version == client.version and client in block
    ]
    if not holding:
        return ''
    return plain[max(holding, key=lambda one: one.prefixlen)]


def test_chunks_split_and_vanish() -> None:
    """Many networks in random order are all found, then all removed."""
    source = Random(_SEED)
    keys = source.sample(range(1 << 32), 20_000)
    numbers = PrefixMap('I')
    for key in keys:
        numbers.put(key, key % 450)
    assert len(numbers) == len(keys)
    assert all(numbers.get(key) == key % 450 for key in keys)
    for key in keys:
        numbers.remove(key)
    assert len(numbers) == 0
    assert numbers.get(keys[0]) is None
