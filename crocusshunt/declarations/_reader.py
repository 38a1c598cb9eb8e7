"""Reading of declarations from a directory of INI files."""

from collections.abc import Iterator, Mapping
from pathlib import Path

from result import Err, Ok, Result

from crocusshunt.core import Fault, InputSource, convert_fields
from crocusshunt.routing import Row, Tables
from crocusshunt.schema import find_row_type, is_table, list_tables
from crocusshunt.settings import SettingsError, read_sections

_PATTERN = '*.ini'


def read_declarations(directory: Path) -> Result[Tables, SettingsError]:
    """Read the tables that the INI files of a directory declare.

    A section ``[route verify]`` declares the row ``verify`` of the table
    ``route``; its keys are the row's fields.

    :param directory: directory of files ``*.ini``; how rows are spread over
        the files does not matter.
    """
    paths = sorted(directory.glob(_PATTERN))
    if not paths:
        fault = Fault(str(directory), 'holds no declarations', _PATTERN)
        return Err(SettingsError((fault,)))
    faults: list[Fault] = []
    rows: dict[tuple[str, str], Row] = {}
    for path in paths:
        for parsed in _read_rows(path):
            if isinstance(parsed, Err):
                faults.extend(parsed.err_value)
                continue
            table, row = parsed.ok_value
            if (table, row.name) in rows:
                faults.append(Fault(f'{path} [{table} {row.name}]', 'repeated'))
            rows[table, row.name] = row
    if faults:
        return Err(SettingsError(tuple(faults)))
    return Ok(Tables().put(*rows.values()))


def _read_rows(
    path: Path,
) -> Iterator[Result[tuple[str, Row], tuple[Fault, ...]]]:
    sections = read_sections(path)
    if isinstance(sections, Err):
        yield Err(sections.err_value.faults)
        return
    for title, values in sections.ok_value.items():
        yield _read_row(f'{path} [{title}]', title, values)


def _read_row(
    place: str,
    title: str,
    values: Mapping[str, str],
) -> Result[tuple[str, Row], tuple[Fault, ...]]:
    table, _separator, name = title.partition(' ')
    if not is_table(table):
        allowed = ', '.join(list_tables())
        return Err((Fault(place, 'unknown table', allowed),))
    fields = {**values, 'name': name.strip()}
    source = InputSource(place, is_text=True)
    return convert_fields(source, fields, find_row_type(table)).map(
        lambda row: (table, row),
    )
