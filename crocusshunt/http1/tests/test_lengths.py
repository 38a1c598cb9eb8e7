"""Lengths of bodies that are given more than once."""

import pytest

from crocusshunt.http1 import MalformedRequestError, parse_head

_HEAD = b'POST / HTTP/1.1\r\nHost: a\r\n%b\r\n'


def test_same_length_twice_is_one() -> None:
    head = parse_head(_HEAD % (b'Content-Length: 3\r\n' * 2))
    assert head.body_bytes == 3


@pytest.mark.parametrize(
    'fields',
    [
        b'Content-Length: 3, 3\r\n',
        b'Content-Length: 3\r\nContent-Length: 4\r\n',
        b'Content-Length: +3\r\n',
        b'Content-Length:\r\n',
    ],
)
def test_doubtful_length_is_refused(fields: bytes) -> None:
    with pytest.raises(MalformedRequestError):
        parse_head(_HEAD % fields)
