"""Round trip of declarations through INI files."""

from pathlib import Path

import pytest

from crocusshunt.declarations import format_declarations, read_declarations

_EXAMPLES = Path(__file__).parents[3] / 'examples'


@pytest.mark.parametrize('deployment', ['abay', 'trosarina'])
def test_formatted_declarations_read_back_unchanged(
    deployment: str,
    tmp_path: Path,
) -> None:
    declared = read_declarations(_EXAMPLES / deployment).unwrap()
    for name, text in format_declarations(declared).items():
        (tmp_path / name).write_text(text, encoding='utf-8')
    assert read_declarations(tmp_path).unwrap() == declared
