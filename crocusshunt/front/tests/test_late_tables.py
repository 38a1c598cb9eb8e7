"""Draining servers at a host whose table of servers is late."""

from typing import Any, cast

import pytest

from crocusshunt.fleet import DatagramEndpoint
from crocusshunt.front._heartbeats import HeartbeatLoop
from crocusshunt.front.tests._region import Region
from crocusshunt.placement import ServerEntry

_START_MS = 7
_HEARTBEAT_S = 1


class _CutLink:
    """Drops what is sent while it is cut."""

    def __init__(self, endpoint: Any) -> None:
        self.is_cut = True
        self._endpoint = endpoint

    def send(self, content: bytes, host: str, port: int) -> None:
        if not self.is_cut:
            self._endpoint.send(content, host, port)


def _put(loop: HeartbeatLoop, *, is_draining: bool) -> ServerEntry:
    entry = ServerEntry(
        's9',
        'p',
        'x:9',
        'a1',
        4,
        is_draining=is_draining,
        started_ms=_START_MS,
    )
    loop.cluster.servers.put(entry, 0)
    return entry


@pytest.mark.parametrize('cut_s', [3, 8, 14])
def test_host_that_missed_heartbeats_learns_of_a_draining_server(
    cut_s: int,
) -> None:
    """Its table is as late as in the incident, 13 s and more."""
    region = Region(names=('a1', 'a2'))
    teller, late = (region.start(name) for name in region.names)
    for loop in (teller, late):
        _put(loop, is_draining=False)
    link = _CutLink(teller.outbox.endpoint)
    teller.outbox.endpoint = cast(DatagramEndpoint, link)
    now = region.clock.monotonic()
    teller.cluster.servers.mark_draining('s9', _START_MS, now)
    _put(teller, is_draining=True)
    for _ in range(cut_s):
        region.clock.advance(_HEARTBEAT_S)  # type: ignore[attr-defined]
        teller.run_once()
    link.is_cut = False
    teller.run_once()
    known = late.cluster.servers.find('s9')
    assert known is not None
    assert not late.cluster.servers.is_open(known)
