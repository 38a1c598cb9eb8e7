"""Agreement of settings classes, their documentation and sample files."""

import re
from collections.abc import Iterator
from dataclasses import MISSING, Field, fields
from pathlib import Path
from typing import Any, get_type_hints

import pytest
from result import Result

from crocusshunt.settings import SettingsError, read_settings
from crocusshunt.settings.tests.programs import PROGRAMS

_ROOT = Path(__file__).parents[3]
_PAGE = _ROOT / 'docs' / 'operators' / 'settings.md'
_SAMPLES = sorted(_ROOT.glob('examples/*/hosts/**/*.ini'))
_HEADING = re.compile(r'^### \[(\w+)\] of ([\w-]+)$')
_ROW = re.compile(r'^\| `(\w+)` \| (.*?) \| (.+) \|$')

_Entry = tuple[str, str, str, str]


def _read_page() -> Iterator[_Entry]:
    program_section = ('', '')
    for line in _PAGE.read_text(encoding='utf-8').splitlines():
        heading = _HEADING.match(line)
        if heading:
            program_section = (heading[2], heading[1])
        row = _ROW.match(line)
        if row:
            yield (*program_section, row[1], row[2])


def _list_settings() -> Iterator[_Entry]:
    for program, settings in PROGRAMS.items():
        for section, section_class in get_type_hints(settings).items():
            for field in fields(section_class):
                yield program, section, field.name, _format_default(field)


def _format_default(field: Field[Any]) -> str:
    if field.default is MISSING:
        return 'required'
    return 'empty' if field.default in {'', ()} else str(field.default)


def test_documented_settings_match_the_classes() -> None:
    assert sorted(_read_page()) == sorted(_list_settings())


def test_every_program_has_a_sample_in_both_deployments() -> None:
    assert len(_SAMPLES) == 2 * len(PROGRAMS)


@pytest.mark.parametrize('path', _SAMPLES, ids=str)
def test_sample_is_valid(path: Path) -> None:
    program: type[Any] = PROGRAMS[f'crocus-{path.stem}']
    read: Result[Any, SettingsError] = read_settings(path, program)
    assert read.is_ok(), read.unwrap_err().describe()
