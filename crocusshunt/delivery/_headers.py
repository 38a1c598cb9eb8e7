"""Headers, query and cookies passed between callers and backend servers."""

from collections.abc import Iterable, Iterator
from urllib.parse import unquote_plus

from multidict import CIMultiDict, CIMultiDictProxy

KEY_HEADER = 'X-Api-Key'
KEY_QUERY = 'api_key'
KEY_COOKIE = 'api_key'
REQUEST_ID_HEADER = 'X-Request-Id'
CUSTOMER_HEADER = 'X-Customer'
DEADLINE_HEADER = 'X-Request-Deadline-Ms'
IDEMPOTENCY_HEADER = 'Idempotency-Key'

_AUTHORIZATION = 'Authorization'
_COOKIE = 'Cookie'
_BEARER = 'bearer '
_COOKIE_SEPARATOR = ';'
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
_REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        KEY_HEADER,
        _AUTHORIZATION,
        _COOKIE,
        REQUEST_ID_HEADER,
        CUSTOMER_HEADER,
        DEADLINE_HEADER,
        'Expect',
    )
)
# The Connection header must not remove the headers that a request depends on.
_PROTECTED_HEADERS = frozenset(('host', 'content-length'))
# Shorter keys are not searched for in other headers.
_MIN_SEARCHED_KEY_LENGTH = 8

Headers = CIMultiDictProxy[str] | CIMultiDict[str]


def find_keys(headers: Headers, raw_query: str) -> frozenset[str]:
    """Return all distinct API keys in headers, query and cookies of a request.

    :param raw_query: the query as it was sent, without question mark.

    >>> sorted(find_keys(CIMultiDict({'x-API-key': 'a'}), 'API_KEY=b&c=d'))
    ['a', 'b']
    """
    found = set(headers.getall(KEY_HEADER, ()))
    for authorization in headers.getall(_AUTHORIZATION, ()):
        if authorization.lower().startswith(_BEARER):
            found.add(authorization[len(_BEARER) :].strip())
    for name, text in _split_query(raw_query):
        if _is_key_name(name):
            found.add(unquote_plus(text))
    for name, text in _split_cookies(headers.getall(_COOKIE, ())):
        if _is_key_name(name):
            found.add(text)
    return frozenset(found)


def strip_keys_from_query(raw_query: str) -> str:
    """Return a query without API keys, otherwise as it was sent.

    >>> strip_keys_from_query('a=1&Api_Key=ck&b=%20')
    'a=1&b=%20'
    """
    return '&'.join(part for part in raw_query.split('&') if not _has_key(part))


def prepare_request_headers(
    headers: Headers,
    added: Iterable[tuple[str, str]],
    keys: Iterable[str] = (),
) -> CIMultiDict[str]:
    """Return the headers for the backend server.

    API keys, hop-by-hop headers and those that only the gateway may set are
    removed, as is every other header that contains a key, such as Referer.

    :param added: headers that the gateway sets.
    :param keys: the API keys that the request carries.
    """
    dropped = HOP_BY_HOP | _REPLACED_HEADERS | find_connection_options(headers)
    searched_keys = tuple(
        key for key in keys if len(key) >= _MIN_SEARCHED_KEY_LENGTH
    )
    kept = CIMultiDict(_filter_headers(headers, dropped, searched_keys))
    cookies = [
        f'{name}={text}'
        for name, text in _split_cookies(headers.getall(_COOKIE, ()))
        if not _is_key_name(name) and not _contains_key(text, searched_keys)
    ]
    if cookies:
        kept[_COOKIE] = '; '.join(cookies)
    kept.update(added)
    return kept


def prepare_answer_headers(headers: Headers) -> CIMultiDict[str]:
    """Return a response's headers without the hop-by-hop ones."""
    dropped = HOP_BY_HOP | find_connection_options(headers)
    return CIMultiDict(
        (name, text)
        for name, text in headers.items()
        if name.lower() not in dropped
    )


def find_connection_options(headers: Headers) -> frozenset[str]:
    """Return the normalised header names that the Connection header lists.

    Reference: RFC 9110, section 7.6.1, "Connection".
    """
    line = ','.join(headers.getall('Connection', ()))
    names = line.replace(' ', '').replace('\t', '').split(',')
    return frozenset(map(normalize_header_name, names)) - _PROTECTED_HEADERS


def normalize_header_name(name: str) -> str:
    """Return a header name in lower case, with hyphens for underscores.

    Some servers read underscores in header names as hyphens.
    """
    return name.lower().replace('_', '-')


def _filter_headers(
    headers: Headers,
    dropped: frozenset[str],
    keys: tuple[str, ...],
) -> Iterator[tuple[str, str]]:
    for name, text in headers.items():
        if normalize_header_name(name) not in dropped and not _contains_key(
            text, keys
        ):
            yield name, text


def _contains_key(text: str, keys: tuple[str, ...]) -> bool:
    spellings = (text, unquote_plus(text))
    return any(key in one for key in keys for one in spellings)


def _has_key(part: str) -> bool:
    return any(_is_key_name(name) for name, _text in _split_query(part))


def _is_key_name(name: str) -> bool:
    return unquote_plus(name).strip().lower() == KEY_QUERY


def _split_query(raw_query: str) -> Iterable[tuple[str, str]]:
    for part in raw_query.replace(';', '&').split('&'):
        name, _separator, text = part.partition('=')
        yield name, text


def _split_cookies(lines: Iterable[str]) -> Iterable[tuple[str, str]]:
    for line in lines:
        for part in line.split(_COOKIE_SEPARATOR):
            name, _separator, text = part.strip().partition('=')
            if name:
                yield name, text
