"""What a request says of itself, read once."""

from dataclasses import dataclass
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from crocusshunt.delivery import (
    HOP_BY_HOP,
    find_connection_options,
    normalize_header_name,
)
from crocusshunt.front._settings import HeaderNames

_AUTHORIZATION = 'Authorization'
_COOKIE = 'Cookie'
_MILLISECONDS = 1000
_SHORTEST_KEY = 8

Headers = CIMultiDictProxy[str] | CIMultiDict[str]


class IncomingRequest(Protocol):
    """The part of a request that is read before its body."""

    @property
    def method(self) -> str:
        """Return the method."""

    @property
    def raw_path(self) -> str:
        """Return path and query, as they came."""

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Return the headers."""


@dataclass(frozen=True, slots=True)
class Ask:
    """A request of a caller.

    :param target: path and query, as they came.
    :param key: the caller's key, None without one.
    :param patience_s: how long the caller waits, None if it does not say.
    :param affinity: object of the request, empty if it names none.
    """

    request_id: str
    method: str
    host: str
    target: str
    key: str | None
    patience_s: float | None
    affinity: str


def inspect_request(request: IncomingRequest, names: HeaderNames) -> Ask:
    """Read the headers of a request."""
    headers = request.headers
    return Ask(
        request_id=headers.get(names.request_id, ''),
        method=request.method,
        host=headers.get('Host', ''),
        target=request.raw_path,
        key=_find_key(headers, names),
        patience_s=_find_patience(headers, names),
        affinity=_find_affinity(headers, names),
    )


def select_headers(
    headers: Headers,
    names: HeaderNames,
    key: str | None,
) -> list[tuple[str, str]]:
    """Return a request's headers that go on to the backend server.

    Left out are those of one connection, those that only the system sets,
    and each that repeats the caller's key.
    """
    dropped = HOP_BY_HOP | find_connection_options(headers)
    dropped |= {
        normalize_header_name(name)
        for name in (
            _AUTHORIZATION,
            'Content-Length',
            'Expect',
            names.deadline_ms,
            names.customer,
            names.expected_server,
        )
    }
    shown = key if key is not None and len(key) >= _SHORTEST_KEY else None
    return [
        (name, text)
        for name, text in headers.items()
        if normalize_header_name(name) not in dropped
        and (shown is None or shown not in text)
    ]


def select_answer_headers(
    headers: tuple[tuple[bytes, bytes], ...],
) -> CIMultiDict[str]:
    """Return a backend server's headers without those of one connection."""
    decoded = CIMultiDict(
        (name.decode('latin-1'), text.decode('utf-8', 'surrogateescape'))
        for name, text in headers
    )
    dropped = HOP_BY_HOP | find_connection_options(decoded) | {'content-length'}
    return CIMultiDict(
        (name, text)
        for name, text in decoded.items()
        if name.lower() not in dropped
    )


def _find_key(headers: Headers, names: HeaderNames) -> str | None:
    lines = headers.getall(_AUTHORIZATION, ())
    if len(lines) != 1 or not lines[0].startswith(names.key_scheme):
        return None
    return lines[0].removeprefix(names.key_scheme).strip()


def _find_patience(headers: Headers, names: HeaderNames) -> float | None:
    text = headers.get(names.deadline_ms, '').strip()
    try:
        patience_ms = float(text)
    except ValueError:
        return None
    return max(0, patience_ms / _MILLISECONDS)


def _find_affinity(headers: Headers, names: HeaderNames) -> str:
    for line in headers.getall(_COOKIE, ()):
        for part in line.split(';'):
            name, _separator, text = part.strip().partition('=')
            if name == names.affinity_cookie:
                return text
    return ''
