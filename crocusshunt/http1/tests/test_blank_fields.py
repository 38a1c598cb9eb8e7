"""Fields of white space take no more time than others of their size."""

import pytest

from crocusshunt.http1 import MalformedRequestError, parse_head

_BLANKS = b' ' * 60_000
_HEAD = b'GET / HTTP/1.1\r\nHost: a\r\nX:%b\r\n\r\n'


def test_refused_field_of_white_space_does_not_hang() -> None:
    with pytest.raises(MalformedRequestError):
        parse_head(_HEAD % b''.join((_BLANKS, b'\x01')))


@pytest.mark.parametrize('text', [b'', b'a', _BLANKS.join((b'a', b'b'))])
def test_white_space_around_a_field_is_left_out(text: bytes) -> None:
    head = parse_head(_HEAD % b''.join((_BLANKS, text, _BLANKS)))
    assert head.fields[1] == ('X', text.decode())
