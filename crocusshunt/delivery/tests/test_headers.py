"""Tests that no API key and no forged header reaches a backend server."""

from hypothesis import given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict

from crocusshunt.delivery import (
    CUSTOMER_HEADER,
    find_keys,
    normalize_path,
    prepare_request_headers,
    strip_keys_from_query,
)

_KEY = 'ck_court_0123456789'
_ADDED = ((CUSTOMER_HEADER, 'court'),)
_HYPOTHESIS_SETTINGS = settings(
    derandomize=True, max_examples=200, deadline=None
)


def _mix_case(name: str) -> st.SearchStrategy[str]:
    return st.tuples(
        *(st.sampled_from((one.lower(), one.upper())) for one in name)
    ).map(''.join)


_KEY_AND_FORGED_HEADERS = st.one_of(
    st.tuples(_mix_case('x-api-key'), st.just(_KEY)),
    st.tuples(_mix_case('x_api_key'), st.just(_KEY)),
    st.tuples(
        _mix_case('authorization'),
        _mix_case('bearer').map(lambda scheme: f'{scheme} {_KEY}'),
    ),
    st.tuples(
        _mix_case('cookie'),
        _mix_case('api_key').map(lambda name: f'a=1; {name}={_KEY};b=2'),
    ),
    st.tuples(
        st.just('Referer'),
        _mix_case('api_key').map(lambda name: f'http://h/p?{name}={_KEY}'),
    ),
    st.tuples(st.just('X-Other'), st.just('ck%5Fcourt%5F0123456789')),
    st.tuples(
        st.just('Connection'),
        st.sampled_from(('x-customer', 'X-Api-Key, close', 'host')),
    ),
    st.tuples(
        st.sampled_from(('X-Customer', 'x_customer', 'X-REQUEST-ID')),
        st.just('forged'),
    ),
)


@_HYPOTHESIS_SETTINGS
@given(st.lists(_KEY_AND_FORGED_HEADERS, max_size=6))
def test_no_key_or_forged_header_passes(
    sent_headers: list[tuple[str, str]],
) -> None:
    sent = CIMultiDict([('Host', 'h'), *sent_headers, ('X-Api-Key', _KEY)])
    keys = find_keys(sent, '')
    prepared = prepare_request_headers(sent, _ADDED, keys)
    serialized = str(list(prepared.items())).lower()
    assert _KEY not in serialized
    assert 'ck%5f' not in serialized
    assert 'forged' not in serialized
    assert prepared.getall(CUSTOMER_HEADER) == ['court']
    assert prepared['host'] == 'h'


@_HYPOTHESIS_SETTINGS
@given(
    st.lists(
        st.one_of(
            _mix_case('api_key').map(lambda name: f'{name}={_KEY}'),
            _mix_case('api%5fkey').map(lambda name: f'{name}={_KEY}'),
            st.just(f'a=1;api_key={_KEY}'),
            st.sampled_from(('a=1', 'b', '', 'c=%20')),
        ),
        max_size=6,
    ),
)
def test_no_key_stays_in_the_query(parts: list[str]) -> None:
    query = '&'.join(parts)
    assert _KEY not in strip_keys_from_query(query)
    sent = {_KEY for part in parts if _KEY in part}
    assert find_keys(CIMultiDict(), query) == sent


@_HYPOTHESIS_SETTINGS
@given(st.text(alphabet=r'/.%25efEF;\a~', max_size=24))
def test_accepted_paths_are_normalized_and_unambiguous(raw: str) -> None:
    accepted = normalize_path(raw)
    if accepted.is_err():
        return
    path = accepted.unwrap()
    assert normalize_path(path.raw).unwrap() == path
    segments = path.decoded.split('/')
    assert '..' not in segments
    assert '.' not in segments
    assert '\\' not in path.decoded
    assert path.decoded.count('/') == path.raw.count('/')


def test_paths_that_servers_read_differently_are_refused() -> None:
    for raw in (
        '/open/../ledger',
        '/open/%2e%2e/ledger',
        '/open/..;x/ledger',
        '/open/%2e%2e%3bx/ledger',
        '/open//ledger',
        '/open%2fledger',
        r'/open\ledger',
        '/open%5Cledger',
        '/open%00',
        '/open%zz',
        'http://h/open',
        '*',
    ):
        assert normalize_path(raw).is_err(), raw
