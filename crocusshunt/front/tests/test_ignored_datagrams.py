"""Datagrams that are no message, in large numbers."""

import pytest

from crocusshunt.front import _heard_hosts
from crocusshunt.front._receiver import MessageReceiver
from crocusshunt.front.tests._region import Region

_DATAGRAMS = 1_000
_MAX_LINES = 20


def test_ignored_datagrams_do_not_fill_the_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each wrote a line, also those of hosts of a later build."""
    lines: list[str] = []

    def note(event: str, *_details: object, **_fields: object) -> None:
        lines.append(event)

    monkeypatch.setattr(_heard_hosts, 'log_event', note)
    receiver = MessageReceiver(Region().start('a1'))
    for _ in range(_DATAGRAMS):
        receiver.receive(b'garbage')
    assert receiver.loop.heard.ignored == _DATAGRAMS
    assert 0 < len(lines) <= _MAX_LINES
