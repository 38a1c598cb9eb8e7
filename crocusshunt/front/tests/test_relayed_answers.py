"""Answers of other hosts that are neither refusals nor a server's."""

import pytest
from result import Err, Ok

from crocusshunt.front._relay import _read_result
from crocusshunt.front.tests._backend import NAMES
from crocusshunt.upstream import UpstreamAnswer

_SIGNED = ((NAMES.signature.lower().encode(), b'1'),)


@pytest.mark.parametrize('status', [400, 404, 302, 200])
def test_unmarked_answer_of_a_host_is_not_taken_for_a_servers(
    status: int,
) -> None:
    answer = UpstreamAnswer(status, b'', (), b'')
    relayed = _read_result(answer, NAMES)
    assert isinstance(relayed, Err)
    assert relayed.err_value.status == 502


@pytest.mark.parametrize('status', [200, 404, 500])
def test_servers_answer_through_another_host_is_passed_on(status: int) -> None:
    signed = UpstreamAnswer(status, b'', _SIGNED, b'')
    assert _read_result(signed, NAMES) == Ok(signed)


def test_failure_without_signature_is_passed_on() -> None:
    failed = UpstreamAnswer(500, b'', (), b'')
    assert _read_result(failed, NAMES) == Ok(failed)
