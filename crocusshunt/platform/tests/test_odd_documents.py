"""Documents of other writers: any type, size, depth, number and address."""

import json
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from result import Err

from crocusshunt.platform import decode_catalog, decode_server

_ENTRY: dict[str, Any] = {
    'address': '10.0.0.1:80',
    'born': 17,
    'info': {'service': 's1', 'version': 'v1', 'zone': 'z', 'slots': 5},
    'status': {'state': 'ready', 'sequence': 4, 'cold_left_s': 1.5},
}
_NUMBERS = st.one_of(
    st.integers(),
    st.sampled_from((-1, 0, 2**31, 2**53, 2**64, 10**30, 10**400)),
    st.floats(allow_nan=False, allow_infinity=False),
)
_SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    _NUMBERS,
    st.text(),
    st.sampled_from(('10.0.0.1:0', '10.0.0.1:65536', '::1:80', ':80', 'a:1')),
)
_VALUES = st.recursive(
    _SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=4), inner, max_size=4),
    ),
    max_leaves=8,
)
_PATHS = (
    ('address',),
    ('born',),
    ('info',),
    ('info', 'service'),
    ('info', 'zone'),
    ('info', 'slots'),
    ('info', 'version'),
    ('status',),
    ('status', 'state'),
    ('status', 'sequence'),
    ('status', 'cold_left_s'),
    ('other',),
)
_MAX_EXACT_INTEGER = 2**53


def _replace(path: tuple[str, ...], value: object) -> bytes:
    document = json.loads(json.dumps(_ENTRY))
    place = document
    for name in path[:-1]:
        place = place[name]
    place[path[-1]] = value
    return json.dumps(document).encode()


def _check_entry(name: str, content: bytes) -> None:
    decoded = decode_server(name, content)
    if isinstance(decoded, Err):
        return
    entry = decoded.ok_value
    host, _separator, port = entry.address.rpartition(':')
    assert host
    assert 0 < int(port) < 65_536
    assert 1 <= entry.slots <= 65_536
    assert 0 <= entry.started_ms <= _MAX_EXACT_INTEGER
    assert 0 <= entry.cold_left_s <= 86_400
    assert entry.name.isprintable()


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.sampled_from(_PATHS), _VALUES)
@example(('address',), '10.0.0.1:99999')
@example(('born',), 10**30)
@example(('status', 'cold_left_s'), 1e300)
def test_entry_with_an_odd_field_is_an_error_or_within_bounds(
    path: tuple[str, ...], value: object
) -> None:
    """Numbers beyond every range passed on, and ended tasks much later."""
    _check_entry('i-1', _replace(path, value))


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=64), st.integers(0, 150))
def test_entry_of_odd_bytes_is_an_error_or_within_bounds(
    inserted: bytes, position: int
) -> None:
    content = json.dumps(_ENTRY).encode()
    _check_entry('i-1', content[:position] + inserted + content[position:])


@pytest.mark.parametrize('depth', [100, 1000, 20_000])
@pytest.mark.parametrize('prefix', [b'', b'{"":', b'{"info":{"x":'])
def test_deep_nesting_is_a_typed_error(prefix: bytes, depth: int) -> None:
    """It raised an error that nothing caught, which ended the follower."""
    for closing in (b'', b']' * depth):
        content = prefix + b'[' * depth + closing
        assert decode_server('i-1', content).is_err()
        assert decode_catalog(content).is_err()


@pytest.mark.parametrize('name', ['', ' i', 'i\n', 'i\0', '\u2028'])
def test_name_that_no_header_can_carry_is_a_typed_error(name: str) -> None:
    decoded = decode_server(name, json.dumps(_ENTRY).encode())
    assert decoded.unwrap_err().subject == f'server {name}'
