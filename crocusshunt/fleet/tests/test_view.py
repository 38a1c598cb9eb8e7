"""Liveness, restarts and region summaries of hosts."""

from crocusshunt.fleet import (
    FleetSettings,
    FleetView,
    Heartbeat,
    HostRecord,
    OwnState,
    RegionSummary,
    decode_message,
    encode,
    find_front_addresses,
)

_READY = OwnState(is_ready=True)


def _create_record(
    name: str, domain: str = 'a1', region: str = 'a'
) -> HostRecord:
    address = f'10.0.0.{ord(name[-1])}'
    return HostRecord(name, address, 7600, f'{address}:80', domain, region)


def _create_view() -> FleetView:
    view = FleetView(_create_record('h2'), FleetSettings(silent_after_s=3))
    for name, domain, region in (
        ('h1', 'a1', 'a'),
        ('h3', 'a2', 'a'),
        ('h4', 'b1', 'b'),
    ):
        view.put(_create_record(name, domain, region))
    return view


def _create_heartbeat(
    name: str, sequence: int = 1, started_at: int = 5
) -> Heartbeat:
    return Heartbeat(name, started_at, sequence, is_ready=True)


def test_messages_are_decoded_and_malformed_ones_rejected() -> None:
    summary = RegionSummary('h4', 5, 1, 'b', 3, (1, 2, 3), {'court': 1.5})
    assert decode_message(encode(summary)) == summary
    assert decode_message(encode(_create_heartbeat('h1'))) == _create_heartbeat(
        'h1'
    )
    assert decode_message(b'garbage') is None
    assert decode_message(b'') is None


def test_host_without_heartbeats_is_not_given_to_callers() -> None:
    view = _create_view()
    view.handle_message(_create_heartbeat('h1'), now=10)
    view.handle_message(_create_heartbeat('h3'), now=12)
    found = find_front_addresses(view, _READY, 'a1', 'a', now=12)
    assert found == (view.peers['h1'].record.front_address, '10.0.0.50:80')
    # One host of the domain is left, so the caller gets the whole region's.
    later = find_front_addresses(view, _READY, 'a1', 'a', now=14)
    assert later == ('10.0.0.50:80', '10.0.0.51:80')


def test_reordered_heartbeat_is_ignored_and_a_restart_is_not() -> None:
    view = _create_view()
    assert (
        view.handle_message(_create_heartbeat('h1', sequence=7), now=1)
        is not None
    )
    assert (
        view.handle_message(_create_heartbeat('h1', sequence=6), now=1) is None
    )
    assert (
        view.handle_message(
            _create_heartbeat('h1', sequence=1, started_at=4), now=1
        )
        is not None
    )
    assert view.handle_message(_create_heartbeat('stranger'), now=1) is None


def test_one_live_host_sends_the_region_summary() -> None:
    view = _create_view()
    assert view.is_summary_sender(now=0)
    view.handle_message(_create_heartbeat('h3'), now=0)
    assert view.is_summary_sender(now=1)
    view.handle_message(_create_heartbeat('h1'), now=1)
    assert not view.is_summary_sender(now=2)
    assert view.is_summary_sender(now=9)


def test_first_host_that_follows_the_store_watches_it() -> None:
    view = _create_view()
    assert view.is_watcher(now=10)
    view.handle_message(_create_heartbeat('h3'), now=10)
    assert view.is_watcher(now=10)
    view.handle_message(_create_heartbeat('h1'), now=10)
    assert not view.is_watcher(now=12)
    assert view.is_watcher(now=12.3)
    for number, is_ready, is_following in ((2, True, False), (3, False, True)):
        message = Heartbeat(
            'h1', 5, number, is_ready=is_ready, is_following=is_following
        )
        view.handle_message(message, now=11)
        assert view.is_watcher(now=11)


def test_summary_of_another_region_expires() -> None:
    view = _create_view()
    view.handle_message(RegionSummary('h4', 5, 1, 'b', 1), now=0)
    assert [one.region for one in view.list_summaries(now=2)] == ['b']
    assert not view.list_summaries(now=4)
    assert (view.count_hosts('a'), view.count_hosts('b')) == (3, 1)
