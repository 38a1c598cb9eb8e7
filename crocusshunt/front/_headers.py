"""Parsing of request headers, and the headers that are forwarded."""

from dataclasses import dataclass
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from crocusshunt.catalog import CatalogIndex
from crocusshunt.delivery import (
    HOP_BY_HOP,
    find_connection_options,
    normalize_header_name,
)
from crocusshunt.front._relay_outcomes import RELAY_REFUSAL
from crocusshunt.front._settings import HeaderNames

_AUTHORIZATION = 'Authorization'
_COOKIE = 'Cookie'
_MILLISECONDS = 1000
_MIN_REDACTED_KEY_LENGTH = 8
# On a request between hosts: name of the host that passes it on, and version of
# the configuration by which it admitted the request.
RELAYED_BY = 'Crocus-Relayed-By'
RELAY_VERSION = 'Crocus-Relay-Version'

Headers = CIMultiDictProxy[str] | CIMultiDict[str]


class IncomingRequest(Protocol):
    """A request before its body is read."""

    @property
    def method(self) -> str:
        """Return the HTTP method."""

    @property
    def raw_path(self) -> str:
        """Return path and query without decoding them."""

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Return the HTTP headers."""


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """What the request line and headers of a caller's request say.

    :param target: path and query, not decoded.
    :param key: the caller's key, None without one.
    :param caller_timeout_s: how long the caller waits for the response, None
        if it does not say.
    :param affinity_key: object that the request is about, empty if it names
        none; requests for one object go to the same server.
    """

    request_id: str
    method: str
    host: str
    target: str
    key: str | None
    caller_timeout_s: float | None
    affinity_key: str


def inspect_request(
    request: IncomingRequest, names: HeaderNames
) -> RequestInfo:
    """Parse the headers of a request."""
    headers = request.headers
    return RequestInfo(
        request_id=headers.get(names.request_id, ''),
        method=request.method,
        host=headers.get('Host', ''),
        target=request.raw_path,
        key=_find_key(headers, names),
        caller_timeout_s=_parse_timeout(headers, names),
        affinity_key=_find_affinity_key(headers, names),
    )


def select_headers(
    headers: Headers,
    names: HeaderNames,
    key: str | None,
) -> list[tuple[str, str]]:
    """Return the headers of a request that are forwarded to a server.

    Left out are hop-by-hop headers, those that only this system sets, and
    each whose value contains the caller's key.
    """
    dropped = _list_own_headers(headers, names)
    dropped.add(normalize_header_name(_AUTHORIZATION))
    secret = (
        key
        if key is not None and len(key) >= _MIN_REDACTED_KEY_LENGTH
        else None
    )
    return [
        (name, text)
        for name, text in headers.items()
        if normalize_header_name(name) not in dropped
        and (secret is None or secret not in text)
    ]


def select_relay_headers(
    headers: Headers, names: HeaderNames
) -> list[tuple[str, str]]:
    """Return the headers of a request that another host gets, with its key."""
    dropped = _list_own_headers(headers, names)
    return [
        (name, text)
        for name, text in headers.items()
        if normalize_header_name(name) not in dropped
    ]


def is_behind(headers: Headers, index: CatalogIndex | None) -> bool:
    """Tell whether a host passed a request on by a newer configuration."""
    version = headers.get(RELAY_VERSION, '')
    if index is None or not version.isdecimal():
        return False
    return int(version) > index.catalog.version


def _list_own_headers(headers: Headers, names: HeaderNames) -> set[str]:
    """Return the names of headers that each host sets for itself."""
    dropped = {
        normalize_header_name(name)
        for name in (
            'Content-Length',
            'Expect',
            names.deadline_ms,
            names.customer,
            names.expected_server,
            RELAYED_BY,
            RELAY_VERSION,
        )
    }
    return dropped | HOP_BY_HOP | find_connection_options(headers)


def select_response_headers(
    headers: tuple[tuple[bytes, bytes], ...],
) -> CIMultiDict[str]:
    """Return a server's response headers without hop-by-hop headers."""
    decoded = CIMultiDict(
        (name.decode('latin-1'), text.decode('utf-8', 'surrogateescape'))
        for name, text in headers
    )
    dropped = HOP_BY_HOP | find_connection_options(decoded)
    dropped |= {'content-length', RELAY_REFUSAL.lower()}
    return CIMultiDict(
        (name, text)
        for name, text in decoded.items()
        if name.lower() not in dropped
    )


def _find_key(headers: Headers, names: HeaderNames) -> str | None:
    values = headers.getall(_AUTHORIZATION, ())
    if len(values) != 1:
        return None
    size = len(names.key_scheme)
    # The case of a scheme doesn't matter: RFC 9110, section 11.1.
    if values[0][:size].lower() != names.key_scheme.lower():
        return None
    return values[0][size:].strip()


def _parse_timeout(headers: Headers, names: HeaderNames) -> float | None:
    text = headers.get(names.deadline_ms, '').strip()
    try:
        timeout_ms = float(text)
    except ValueError:
        return None
    return max(0, timeout_ms / _MILLISECONDS)


def _find_affinity_key(headers: Headers, names: HeaderNames) -> str:
    for line in headers.getall(_COOKIE, ()):
        for part in line.split(';'):
            name, _separator, text = part.strip().partition('=')
            if name == names.affinity_cookie:
                return text
    return ''
