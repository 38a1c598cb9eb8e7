"""Requests as they are sent to servers, and what their responses say."""

import h11

from crocusshunt.core import parse_count
from crocusshunt.upstream._errors import AnswerBrokenError
from crocusshunt.upstream._messages import (
    Header,
    UpstreamAnswer,
    UpstreamRequest,
)

_MAX_HEAD_BYTES = 65_536
# Servers close idle connections after a timeout of their own; a request sent
# at that moment would be lost.
_IDLE_MARGIN_S = 1
DEFAULT_IDLE_LIMIT_S = 0.5
# The parser takes any three digits from 200 on for a final status.
_MAX_STATUS = 599


def check_status(status: int) -> None:
    """Raise AnswerBrokenError for a number that is no status."""
    if status > _MAX_STATUS:
        raise AnswerBrokenError(f'status {status}')


def create_parser() -> h11.Connection:
    """Return the parser of a connection."""
    return h11.Connection(h11.CLIENT, _MAX_HEAD_BYTES)


def encode_request(
    parser: h11.Connection, request: UpstreamRequest
) -> list[bytes]:
    """Return the parts of a request; its body isn't copied."""
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=list(request.headers),
    )
    parts = parser.send_with_data_passthrough(head) or []
    if request.body:
        body = h11.Data(data=request.body)
        parts.extend(parser.send_with_data_passthrough(body) or [])
    parser.send(h11.EndOfMessage())
    return parts


def find_length(headers: tuple[Header, ...]) -> int:
    """Return how long a body is said to be, 0 if that isn't said."""
    lengths = [text for name, text in headers if name == b'content-length']
    return int(lengths[0]) if lengths and lengths[0].isdigit() else 0


def find_idle_limit(response: UpstreamAnswer) -> float:
    """Return how long a connection may be idle and be reused, in seconds."""
    hint = (response.find(b'keep-alive') or b'').decode('latin-1')
    for part in hint.split(','):
        name, _separator, text = part.strip().partition('=')
        limit_s = parse_count(text) if name.lower() == 'timeout' else None
        if limit_s is not None:
            return max(DEFAULT_IDLE_LIMIT_S, limit_s - _IDLE_MARGIN_S)
    return DEFAULT_IDLE_LIMIT_S
