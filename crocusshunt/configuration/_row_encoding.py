"""Text form of rows, used in the store, in messages and for digests."""

from typing import Any

import msgspec
from result import Err, Result

from crocusshunt.core import Fault, InputSource, convert_fields
from crocusshunt.routing import Row
from crocusshunt.schema import find_row_type, is_table, list_tables


def encode_row(row: Row) -> str:
    """Return a row as JSON with sorted fields.

    >>> from crocusshunt.routing import Pool
    >>> encode_row(Pool('verify'))
    '{"name":"verify"}'
    """
    return msgspec.json.encode(row, order='sorted').decode()


def decode_row(
    table: str,
    name: str,
    text: str,
) -> Result[Row, tuple[Fault, ...]]:
    """Parse and validate the text form of a row.

    :param table: table that the row belongs to.
    :param name: name that the row's field ``name`` must hold.

    >>> faults = decode_row('pool', 'verify', '{"name":"ledger"}').unwrap_err()
    >>> faults[0].problem
    "carries the name 'ledger'"
    """
    place = f'{table} {name}'
    if not is_table(table):
        allowed = ', '.join(list_tables())
        return Err((Fault(place, 'unknown table', allowed),))
    try:
        fields = msgspec.json.decode(text, type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeError) as error:
        return Err((Fault(place, str(error)),))
    if fields.get('name') != name:
        problem = f"carries the name '{fields.get('name')}'"
        return Err((Fault(place, problem, name),))
    return convert_fields(InputSource(place), fields, find_row_type(table))
