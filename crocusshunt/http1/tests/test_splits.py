"""Requests are read the same, however their bytes arrive."""

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.http1 import (
    ChunkedBody,
    HeadReader,
    ReadLimits,
    RequestHead,
    RequestReadError,
    SizedBody,
)

_LIMITS = ReadLimits(field_bytes=400, chunk_line_bytes=60)
_TOKENS = st.text('abcXYZ!#09-', min_size=1, max_size=8)
_VALUES = st.text('ab ,;="/:\täö', max_size=12)
_BODIES = st.lists(st.binary(min_size=1, max_size=20), max_size=4)


@dataclass(slots=True)
class Reader:
    """Reads the requests of one connection."""

    received: bytearray = field(default_factory=bytearray)
    requests: list[tuple[RequestHead, bytes]] = field(default_factory=list)
    _head: RequestHead | None = None
    _heads: HeadReader = field(default_factory=lambda: HeadReader(_LIMITS))
    _body: SizedBody | ChunkedBody | None = None
    _content: bytes = b''

    def feed(self, received: bytes) -> None:
        """Read what came."""
        self.received += received
        while self._step():
            """Another part may follow."""

    def _step(self) -> bool:
        if self._body is None:
            head = self._heads.take(self.received)
            if head is None:
                return False
            self._head = head
            self._heads = HeadReader(_LIMITS)
            self._body = (
                ChunkedBody(_LIMITS)
                if head.body_bytes is None
                else SizedBody(head.body_bytes)
            )
        piece = self._body.decode(self.received)
        self._content += piece or b''
        if self._body.is_ended:
            assert self._head is not None
            self.requests.append((self._head, self._content))
            self._body = None
            self._content = b''
            return True
        return bool(self.received) and piece is not None


@st.composite
def build_request(draw: st.DrawFn) -> tuple[bytes, bytes]:
    """Return a request and its body."""
    lines = [f'{draw(_TOKENS)} /{draw(_TOKENS)} HTTP/1.1', 'Host: a']
    for name, text in draw(st.lists(st.tuples(_TOKENS, _VALUES), max_size=5)):
        lines.append(f'X{name}: {text}')
    pieces = draw(_BODIES)
    body = b''.join(pieces)
    if draw(st.booleans()):
        lines.append('Transfer-Encoding: chunked')
        chunks = [b'%x;e\r\n%b\r\n' % (len(one), one) for one in pieces]
        framed = b''.join((*chunks, b'0\r\nT: u\r\n\r\n'))
    else:
        lines.append(f'Content-Length: {len(body)}')
        framed = body
    head = '\r\n'.join((*lines, '', '')).encode()
    return b''.join((head, framed)), body


@given(
    st.lists(build_request(), max_size=4),
    st.lists(st.integers(0, 600), max_size=30),
)
@settings(max_examples=300, deadline=None)
def test_any_split_gives_the_same_requests(
    sent: list[tuple[bytes, bytes]], cuts: list[int]
) -> None:
    joined = b''.join(request for request, _body in sent)
    whole = Reader()
    whole.feed(joined)
    bytewise = Reader()
    for byte in joined:
        bytewise.feed(bytes([byte]))
    split = Reader()
    edges = [0, *sorted(cuts), len(joined)]
    for begin, end in zip(edges, edges[1:], strict=False):
        split.feed(joined[begin:end])
    assert [body for _head, body in whole.requests] == [
        body for _request, body in sent
    ]
    assert whole.requests == split.requests == bytewise.requests
    assert not whole.received


_SCRAPS = st.sampled_from(
    (
        *(b'GET / HTTP/1.1\r\n', b'Host: a\r\n', b'\r\n', b'\n', b'\r', b'\0'),
        *(b'Transfer-Encoding: chunked\r\n', b'Content-Length: 3\r\n', b':'),
        *(b'3\r\nabc\r\n', b'0\r\n', b'a' * 150, b' ', b'\xff', b'X: y\r\n'),
    )
)


@given(st.lists(st.one_of(_SCRAPS, st.binary(max_size=40)), max_size=40))
@settings(max_examples=500, deadline=None)
def test_any_bytes_are_read_or_refused_and_few_are_kept(
    pieces: list[bytes],
) -> None:
    reader = Reader()
    limit = 2 * _LIMITS.field_bytes + 8
    for piece in pieces:
        try:
            reader.feed(piece)
        except RequestReadError:
            return
        assert len(reader.received) <= limit


def _read(sent: bytes) -> list[tuple[RequestHead, bytes]]:
    reader = Reader()
    reader.feed(sent)
    return reader.requests


_HEAD = b'POST / HTTP/1.1\r\nHost: a\r\n'


@pytest.mark.parametrize(
    'fields',
    [
        b'Content-Length: 3\r\nContent-Length: 4\r\n',
        b'Content-Length: 3, 4\r\n',
        b'Content-Length: +3\r\n',
        b'Content-Length: 3,\r\n',
        b'Content-Length:\r\n',
        b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: chunked, identity\r\n',
        b'Transfer-Encoding: gzip\r\n',
        b'Transfer-Encoding: gzip, chunked\r\n',
        b'Transfer-Encoding:\r\n',
        b'Transfer-Encoding: chunked\xc2\xa0\r\n',
        b'Transfer-Encoding: chun\xe2\x84\xaaed\r\n',
        b'Transfer-Encoding: \x0bchunked\r\n',
        b'Transfer-Encoding : chunked\r\n',
        b'Host: b\r\n',
        b'X: a\rb\r\n',
        b'X: a\nb\r\n',
        b'X: a\0b\r\n',
        b'X: a\r\n folded\r\n',
        b'no colon\r\n',
        b': no name\r\n',
    ],
)
def test_head_that_others_may_read_otherwise_is_refused(fields: bytes) -> None:
    with pytest.raises(RequestReadError):
        _read(b'%b%b\r\n' % (_HEAD, fields))


@pytest.mark.parametrize(
    'chunks',
    [
        b'3\r\nabcd\r\n0\r\n\r\n',
        b'-3\r\nabc\r\n0\r\n\r\n',
        b'0x3\r\nabc\r\n0\r\n\r\n',
        b'3\nabc\r\n0\r\n\r\n',
        b'3\r\nabc\n0\r\n\r\n',
        b'\r\nabc\r\n0\r\n\r\n',
        b'3;\rx\r\nabc\r\n0\r\n\r\n',
        b'0\r\nno colon\r\n\r\n',
        b'0\r\nX: a\nY: b\r\n\r\n',
    ],
)
def test_malformed_chunks_are_refused(chunks: bytes) -> None:
    with pytest.raises(RequestReadError):
        _read(b'%bTransfer-Encoding: chunked\r\n\r\n%b' % (_HEAD, chunks))


@pytest.mark.parametrize('version', [b'1.0', b'1.1'])
@pytest.mark.parametrize('option', [b'', b'close', b'Keep-Alive', b'x, Close'])
def test_connection_persists_as_its_options_say(
    version: bytes, option: bytes
) -> None:
    head = b'GET / HTTP/%b\r\nHost: a\r\nConnection: %b\r\n\r\n'
    read = _read(head % (version, option))[0][0]
    expected = {b'': version == b'1.1', b'Keep-Alive': True}
    assert read.is_persistent is expected.get(option, False)


def test_absolute_target_names_the_host() -> None:
    head = _read(b'GET http://b:1?c HTTP/1.1\r\nHost: a\r\n\r\n')[0][0]
    assert (head.target, head.fields) == ('/?c', (('Host', 'b:1'),))
