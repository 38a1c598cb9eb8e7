"""Parsing of whole request heads."""

import re
from dataclasses import dataclass

from crocusshunt.http1._errors import (
    MalformedRequestError,
    UnsupportedCodingError,
)

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_REQUEST_LINE = re.compile(rb'(%b) ([\x21-\x7e]+) HTTP/1\.([0-9])' % _TOKEN)
_FIELD = re.compile(rb'(%b):([^\x00-\x08\x0a-\x1f\x7f]*)' % _TOKEN)
_ABSOLUTE = re.compile('https?://([^/?#]+)(.*)', re.IGNORECASE)
# More digits than any size has.
_SIZE = re.compile('[0-9]{1,18}')
_HOST = 'host'
_LINE_END = b'\r\n'
_WHITE_SPACE = b' \t'
_CHUNKED = 'chunked'


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The request line and fields of a request.

    :param target: path and query, not decoded; ``*`` or an authority with the
        methods that have these.
    :param minor_version: of HTTP/1.
    :param fields: names and values in the order of the request.
    :param body_bytes: size of the body, None for one in chunks.
    """

    method: str
    target: str
    minor_version: int
    fields: tuple[tuple[str, str], ...]
    body_bytes: int | None
    is_persistent: bool


def parse_head(received: bytes) -> RequestHead:
    r"""Return the head of a request.

    A target in absolute form gives way to its path, and names the host.

    :param received: from the request line to the empty line at the end.
    :raises RequestReadError: it can't be understood.

    >>> parse_head(b'GET http://b/x HTTP/1.1\r\nHost: a\r\n\r\n').fields
    (('Host', 'b'),)
    """
    if not received.endswith(_LINE_END * 2):
        raise MalformedRequestError('line without carriage return')
    lines = received[: -len(_LINE_END) * 2].split(_LINE_END)
    line = _REQUEST_LINE.fullmatch(lines[0])
    if line is None:
        raise MalformedRequestError('request line')
    fields = tuple(map(parse_field, lines[1:]))
    minor_version = int(line[3])
    _check_host(fields, minor_version)
    target, fields = _resolve_target(line[2].decode(), fields)
    return RequestHead(
        method=line[1].decode(),
        target=target,
        minor_version=minor_version,
        fields=fields,
        body_bytes=_find_body_bytes(fields, minor_version),
        is_persistent=_is_persistent(fields, minor_version),
    )


def parse_field(line: bytes) -> tuple[str, str]:
    """Return the name and the value of a field.

    :raises MalformedRequestError: the line isn't a field.

    >>> parse_field(b'Accept:  a/b ')
    ('Accept', 'a/b')
    """
    field = _FIELD.fullmatch(line)
    if field is None:
        raise MalformedRequestError('field')
    text = field[2].strip(_WHITE_SPACE)
    return field[1].decode(), text.decode('utf-8', 'surrogateescape')


def _resolve_target(
    target: str, fields: tuple[tuple[str, str], ...]
) -> tuple[str, tuple[tuple[str, str], ...]]:
    """Return the target without scheme and host, and fields with that host."""
    absolute = _ABSOLUTE.fullmatch(target)
    if absolute is None:
        return target, fields
    path = absolute[2].partition('#')[0]
    if not path.startswith('/'):
        path = f'/{path}'
    others = tuple(one for one in fields if one[0].lower() != _HOST)
    return path, (('Host', absolute[1]), *others)


def _check_host(
    fields: tuple[tuple[str, str], ...], minor_version: int
) -> None:
    count = len(_find_values(fields, _HOST))
    if count > 1 or (minor_version and not count):
        raise MalformedRequestError('host')


def _find_body_bytes(
    fields: tuple[tuple[str, str], ...], minor_version: int
) -> int | None:
    """Return the size of the body, None for one in chunks."""
    codings = _split_list(_find_values(fields, 'transfer-encoding'))
    sizes = _find_values(fields, 'content-length')
    if not codings:
        return _parse_size(sizes)
    # Two framings of one body may be read differently by others.
    if sizes or not minor_version or codings[-1] != _CHUNKED:
        raise MalformedRequestError('framing of the body')
    if len(codings) > 1:
        raise UnsupportedCodingError('transfer coding')
    return None


def _parse_size(sizes: list[str]) -> int:
    if not sizes:
        return 0
    first = sizes[0]
    if any(size != first for size in sizes) or not _SIZE.fullmatch(first):
        raise MalformedRequestError('content length')
    return int(first)


def _is_persistent(
    fields: tuple[tuple[str, str], ...], minor_version: int
) -> bool:
    options = _split_list(_find_values(fields, 'connection'))
    if minor_version:
        return 'close' not in options
    return 'keep-alive' in options and 'close' not in options


def _find_values(fields: tuple[tuple[str, str], ...], name: str) -> list[str]:
    return [text for found, text in fields if found.lower() == name]


def _split_list(values: list[str]) -> list[str]:
    """Return the members of a field whose value is a list, in lower case.

    A member that is empty stands for itself where another field must be exact.
    Others than ASCII are kept, as some of their letters have ASCII ones as
    their lower case.
    """
    members = (
        member.strip(' \t') for text in values for member in text.split(',')
    )
    return [one.lower() if one.isascii() else one for one in members]
