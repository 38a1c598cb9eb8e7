"""What hosts tell each other, by the benchmark's play."""

import pytest

from crocusshunt.bench._host_messages import HostMessages
from crocusshunt.fleet import MAX_DATAGRAM_BYTES


@pytest.mark.parametrize('changes', [0, 100])
def test_play_has_heartbeats_of_all_hosts_and_keeps_the_bound(
    changes: int,
) -> None:
    play = HostMessages(30)
    costs = play.measure(changes)
    assert costs.largest <= MAX_DATAGRAM_BYTES
    assert costs.summary_bytes
    fleet = play.region.hosts['a0002'].cluster.fleet
    now = play.clock.monotonic()
    assert len(fleet.list_live(now)) == 9
    assert {one.region for one in fleet.list_summaries(now)} == {'b', 'c'}


def test_messages_are_as_many_bytes_after_many_changes_as_after_some() -> None:
    few, many = (HostMessages(30).measure(one) for one in (100, 1_000))
    assert many.sent_bytes <= 1.1 * few.sent_bytes
    assert many.summary_bytes <= 1.1 * few.summary_bytes
