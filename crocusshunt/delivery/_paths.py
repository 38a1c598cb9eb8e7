"""Normalisation of paths, so that gateway and servers read them alike."""

import re
from dataclasses import dataclass
from urllib.parse import unquote

from result import Err, Ok, Result

from crocusshunt.core import CrocusError

_UNRESERVED = frozenset(
    'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~',
)
_ESCAPE = re.compile('%([0-9A-Fa-f]{2})')
_BROKEN_ESCAPE = re.compile('%(?![0-9A-Fa-f]{2})')
_FORBIDDEN = re.compile(r'//|\\|%2F|%5C|%00|[^\x21-\x7e]|#')
_DOT_SEGMENTS = frozenset(('.', '..'))
_HEXADECIMAL = 16


@dataclass(unsafe_hash=True)
class AmbiguousPathError(CrocusError):
    """A path that different servers may resolve differently.

    :param path: the path as it was sent.
    """

    code = 'ambiguous-path'

    path: str


@dataclass(frozen=True, slots=True)
class NormalPath:
    """A path in normal form.

    :param raw: percent-encoded path, as sent to the backend server.
    :param decoded: percent-decoded path, on which routes are matched.
    """

    raw: str
    decoded: str


def normalize_path(raw_path: str) -> Result[NormalPath, AmbiguousPathError]:
    """Decode unreserved characters; refuse paths that stay ambiguous.

    Dot segments, empty segments, and encoded slashes, backslashes and zero
    bytes are refused rather than resolved: a backend server might resolve
    them differently, and so run a request that belongs to another route.

    :param raw_path: the path as it was sent, without query.

    >>> normalize_path('/%76erify/a%20b').unwrap()
    NormalPath(raw='/verify/a%20b', decoded='/verify/a b')
    >>> normalize_path('/open/%2e%2E/ledger').unwrap_err().code
    'ambiguous-path'

    Reference: RFC 3986, section 6.2.2, "Syntax-Based Normalization".
    """
    if not raw_path.startswith('/') or _BROKEN_ESCAPE.search(raw_path):
        return Err(AmbiguousPathError(raw_path))
    raw = _ESCAPE.sub(_decode_unreserved, raw_path)
    if _FORBIDDEN.search(raw) or _has_dot_segment(raw):
        return Err(AmbiguousPathError(raw_path))
    return Ok(NormalPath(raw, unquote(raw)))


def _decode_unreserved(match: re.Match[str]) -> str:
    character = chr(int(match.group(1), _HEXADECIMAL))
    return character if character in _UNRESERVED else match.group(0).upper()


def _has_dot_segment(raw: str) -> bool:
    # Some servers strip the parameters of a segment (";x") before they
    # resolve dot segments.
    return any(
        segment.replace('%3B', ';').partition(';')[0] in _DOT_SEGMENTS
        for segment in raw.split('/')
    )
