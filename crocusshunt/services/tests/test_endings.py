"""Exit status and last log line of a process."""

from typing import Any, ClassVar
from unittest.mock import patch

from crocusshunt.services import FatalError, run_to_end
from crocusshunt.services import _endings as endings


class _PortError(FatalError):
    exit_status: ClassVar[int] = 9


def _end(run: Any) -> tuple[int, dict[str, Any]]:
    lines: list[dict[str, Any]] = []

    def note(event: str, *_level: int, **fields: Any) -> None:
        lines.append({'event': event, **fields})

    with patch.object(endings, 'log_event', note):
        status = run_to_end(run)
    assert len(lines) == 1
    return status, lines[0]


def _fail() -> None:
    raise ValueError('odd')


def _fail_for_a_port() -> None:
    raise _PortError


def test_process_that_was_asked_to_end_says_so() -> None:
    status, line = _end(lambda: None)
    assert status == 0
    assert line == {'event': 'process ended', 'status': 0, 'cause': 'asked to'}


def test_error_that_ends_a_process_is_logged_with_its_trace() -> None:
    status, line = _end(_fail)
    assert status == 1
    assert line['status'] == 1
    assert line['cause'] == "ValueError('odd')"
    assert '_fail' in line['trace']


def test_kinds_of_errors_have_exit_statuses_of_their_own() -> None:
    status, line = _end(_fail_for_a_port)
    assert (status, line['status']) == (9, 9)
