"""Tests of known faults, listed in KNOWN-RED.txt, do not fail a run."""

from pathlib import Path

import pytest

_LIST = Path(__file__).parent.parent / 'KNOWN-RED.txt'
# An entry begins with the id of its test; entries about runs that are no test
# of this repository have no such separator in their first line.
_ID_SEPARATOR = '::'


def read_known_failures(text: str) -> tuple[str, ...]:
    """Return the ids of the tests that a list of known failures names.

    >>> lines = ('a/test_b.py::test_c[1]', '  seen: d::e', '', 'a run')
    >>> read_known_failures(chr(10).join(lines))
    ('a/test_b.py::test_c[1]',)
    """
    first_lines = (
        line.strip()
        for line in text.splitlines()
        if line and not line[0].isspace()
    )
    return tuple(line for line in first_lines if _ID_SEPARATOR in line)


def find_stale_entries(
    known: tuple[str, ...],
    collected: frozenset[str],
) -> tuple[str, ...]:
    """Return listed tests whose module was collected, but which are not there.

    >>> find_stale_entries(('a.py::b', 'c.py::d'), frozenset({'a.py::e'}))
    ('a.py::b',)
    """
    modules = {name.split(_ID_SEPARATOR)[0] for name in collected}
    return tuple(
        name
        for name in known
        if name not in collected and name.split(_ID_SEPARATOR)[0] in modules
    )


def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Expect the listed tests to fail; refuse entries that name no test."""
    text = _LIST.read_text() if _LIST.exists() else ''
    known = read_known_failures(text)
    collected = frozenset(item.nodeid for item in items)
    is_selection = any(_ID_SEPARATOR in name for name in config.args)
    stale = find_stale_entries(known, collected)
    if stale and not is_selection:
        raise pytest.UsageError(f'KNOWN-RED.txt names no test: {stale}')
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))
