"""Ends of a host, as a process, whose logs nobody reads."""

import os
import subprocess  # noqa: S404
import sys
from pathlib import Path

import pytest

_EXIT_INVALID_SETTINGS = 2
_END_S = 30


@pytest.mark.parametrize('is_shared', [False, True])
def test_status_of_a_host_without_settings_does_not_depend_on_its_logs(
    tmp_path: Path, *, is_shared: bool
) -> None:
    """Standard error that nobody read made it any error."""
    reading, writing = os.pipe()
    os.close(reading)
    process = subprocess.Popen(  # noqa: S603
        [sys.executable, '-m', 'crocusshunt.programs.host'],
        env={
            **os.environ,
            'CROCUSSHUNT_CONFIG': str(tmp_path / 'missing.json'),
        },
        stdout=writing if is_shared else subprocess.DEVNULL,
        stderr=writing,
    )
    os.close(writing)
    assert process.wait(_END_S) == _EXIT_INVALID_SETTINGS
