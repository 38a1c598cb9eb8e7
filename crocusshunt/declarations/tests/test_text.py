"""Test that written declarations read back as the same tables."""

from pathlib import Path

import pytest

from crocusshunt.declarations import read_declarations, write_declarations

_EXAMPLES = Path(__file__).parents[3] / 'examples'


@pytest.mark.parametrize('deployment', ['abay', 'trosarina'])
def test_declarations_survive_their_files(
    deployment: str,
    tmp_path: Path,
) -> None:
    declared = read_declarations(_EXAMPLES / deployment).unwrap()
    for name, text in write_declarations(declared).items():
        (tmp_path / name).write_text(text, encoding='utf-8')
    assert read_declarations(tmp_path).unwrap() == declared
