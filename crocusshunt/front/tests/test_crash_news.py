"""Crashes under requests, told from host to host."""

import pytest

from crocusshunt.core import ManualClock
from crocusshunt.front._heartbeats import HeartbeatLoop
from crocusshunt.front.tests._region import Region

_NAMES = ('a1', 'a2', 'a3', 'b1', 'b2')


@pytest.fixture
def region() -> Region:
    """Return five hosts in two regions that know each other."""
    region = Region(names=_NAMES)
    for name in _NAMES[:-1]:
        region.start(name)
    for host in region.hosts.values():
        host.run_once()
    return region


def _note_crashes(host: HeartbeatLoop, now: float) -> None:
    for number in range(3):
        host.crashes.ledger.note_crash('bad', f's{number}', now, is_own=True)
    host.crashes.has_news = True


def _check_all(region: Region) -> None:
    for host in region.hosts.values():
        host._check_for_changes()  # noqa: SLF001


def test_all_hosts_hear_of_a_crash_before_the_next_heartbeat(
    region: Region,
) -> None:
    _note_crashes(region.hosts['a2'], region.clock.monotonic())
    _check_all(region)
    _check_all(region)
    for host in region.hosts.values():
        assert host.crashes.is_quarantined('bad')


def test_news_comes_to_an_end(region: Region) -> None:
    _note_crashes(region.hosts['a2'], region.clock.monotonic())
    for _ in range(3):
        _check_all(region)
    assert not any(host.crashes.has_news for host in region.hosts.values())


def test_host_that_starts_later_hears_of_old_crashes_at_once(
    region: Region,
) -> None:
    assert isinstance(region.clock, ManualClock)
    _note_crashes(region.hosts['a2'], region.clock.monotonic())
    _check_all(region)
    region.clock.advance(60)
    for host in region.hosts.values():
        host.run_once()
    starting = region.start('b2')
    assert starting.crashes.is_quarantined('bad')


async def test_quarantine_survives_a_start_of_all_hosts(
    region: Region,
) -> None:
    """Its request crashed five to eight more servers after such a start."""
    _note_crashes(region.hosts['a2'], region.clock.monotonic())
    _check_all(region)
    for records in region.records.values():
        assert await records.write_changes()
    region.hosts.clear()
    for name in _NAMES:
        region.start(name)
    for starting in region.records.values():
        assert await starting.read()
    for host in region.hosts.values():
        host.run_once()
    for started in region.hosts.values():
        assert started.crashes.is_quarantined('bad')
