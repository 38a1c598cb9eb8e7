"""Pages of the store with rows that another writer left."""

import pytest

from crocusshunt.feeds import Changes, Row
from crocusshunt.platform._row_format import Reply, decode_page

_GOOD_ROW = '{"key":"good","value":"eA==","ver":3}'
_ODD_ROWS = (
    r'{"key":"\ud800","value":"eA==","ver":2}',
    '{"key":7,"value":"eA==","ver":2}',
    '{"key":null,"value":"eA==","ver":2}',
    '{"value":"eA==","ver":2}',
    '{"key":"odd","value":{},"ver":2}',
    '{"key":"odd","value":"eA==","ver":-1}',
    f'{{"key":"odd","value":"eA==","ver":{"9" * 400}}}',
    f'{{"key":"odd","value":"eA==","ver":{"9" * 6000}}}',
    '[]',
    '"odd"',
    'null',
)


def _encode_page(*rows: str) -> bytes:
    return f'{{"rows":[{",".join(rows)}],"ver":5,"has_more":false}}'.encode()


@pytest.mark.parametrize('odd', _ODD_ROWS)
def test_odd_row_leaves_the_others_of_its_page_readable(odd: str) -> None:
    """One row kept a host that started from reading the table, for ever."""
    page = decode_page(Reply(_encode_page(odd, _GOOD_ROW), 0)).unwrap()
    assert page.decode_changes() == Changes((Row('good', b'x', 3),), 5)


def test_bytes_that_are_no_text_leave_the_other_rows_readable() -> None:
    content = _encode_page('{"key":"@","ver":2}', _GOOD_ROW)
    page = decode_page(Reply(content.replace(b'@', b'\xff'), 0)).unwrap()
    assert Row('good', b'x', 3) in page.decode_rows()


@pytest.mark.parametrize('content', [b'', b'[]', b'{"rows":7}', b'{"rows":['])
def test_answer_that_is_no_page_is_an_error(content: bytes) -> None:
    assert decode_page(Reply(content, 0)).is_err()
