"""Computation of the tables after a change."""

from collections.abc import Iterable

from result import Err, Ok, Result

from crocusshunt.configuration import EditRequest, decode_row
from crocusshunt.core import Fault
from crocusshunt.routing import Row, Tables, find_faults


def preview_edits(
    current: Tables,
    edits: Iterable[EditRequest],
) -> Result[Tables, tuple[Fault, ...]]:
    """Return the tables after edits, or all faults of edits and tables.

    :param current: the tables in force.
    :param edits: the edits to apply.

    >>> edit = EditRequest('pool', 'verify', '{"name":"verify"}')
    >>> sorted(preview_edits(Tables(), (edit,)).unwrap().rows['pool'])
    ['verify']
    """
    faults: list[Fault] = []
    rows: list[Row] = []
    tables = current
    for edit in edits:
        if edit.row is None:
            tables = tables.remove(edit.table, (edit.name,))
            continue
        decoded = decode_row(edit.table, edit.name, edit.row)
        if isinstance(decoded, Ok):
            rows.append(decoded.ok_value)
        else:
            faults.extend(decoded.err_value)
    tables = tables.put(*rows)
    faults.extend(find_faults(tables))
    if faults:
        return Err(tuple(faults))
    return Ok(tables)
