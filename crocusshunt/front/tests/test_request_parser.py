"""Ordinary requests are read as the HTTP library reads them."""

import asyncio
from typing import Any

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpRequestParser
from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.front._request_parser import RequestParser
from crocusshunt.http1 import ReadLimits

_METHODS = st.sampled_from(('GET', 'POST', 'PUT', 'DELETE', 'HEAD', 'OPTIONS'))
_TARGETS = st.text("ab/%20?=&;~!$'()*+,.:@-_", max_size=12)
_NAMES = st.text('abcXYZ09-_', min_size=1, max_size=8)
_VALUES = st.text('ab ,;="/:\täö', max_size=12)
_CONNECTION = st.sampled_from(('', 'close', 'keep-alive', 'x, close'))


@st.composite
def build_request(draw: st.DrawFn) -> bytes:
    """Return a request that both parsers take."""
    lines = [
        f'{draw(_METHODS)} /a{draw(_TARGETS)} HTTP/1.1',
        'Host: a',
        f'Connection: {draw(_CONNECTION)}',
    ]
    fields = draw(st.lists(st.tuples(_NAMES, _VALUES), max_size=5))
    lines.extend(f'X-{name}: {text}' for name, text in fields)
    pieces = draw(st.lists(st.binary(min_size=1, max_size=20), max_size=4))
    body = b''.join(pieces)
    framing = draw(st.sampled_from(('none', 'length', 'chunks')))
    if framing == 'none':
        body = b''
    elif framing == 'length':
        lines.append(f'Content-Length: {len(body)}')
    else:
        lines.append('Transfer-Encoding: chunked')
        body = b''.join(
            b'%x\r\n%b\r\n' % (len(piece), piece) for piece in (*pieces, b'')
        )
    return '\r\n'.join((*lines, '', '')).encode() + body


def _describe(message: Any, payload: Any) -> list[Any]:
    return [
        message.method,
        message.path,
        message.version,
        tuple(message.headers.items()),
        message.raw_headers,
        message.should_close,
        message.chunked,
        message.url,
        payload.is_eof(),
        b''.join(getattr(payload, '_buffer', ())),
    ]


async def _read(sent: bytes) -> tuple[Any, Any]:
    loop = asyncio.get_running_loop()
    protocol: Any = BaseProtocol(loop)
    library = HttpRequestParser(
        protocol, loop, 65_536, max_line_size=9000, max_field_size=9000
    )
    own = RequestParser(protocol, loop, ReadLimits)
    protocol._parser = own  # noqa: SLF001
    return library.feed_data(sent)[0], own.feed_data(sent)[0]


@given(build_request())
@settings(max_examples=300, deadline=None)
def test_ordinary_request_is_read_as_by_the_library(sent: bytes) -> None:
    expected, read = asyncio.run(_read(sent))
    assert [_describe(*one) for one in read] == [
        _describe(*one) for one in expected
    ]
    assert len(read) == 1
