"""Hosts while the store is down for everyone, or they are cut off."""

import random
from dataclasses import dataclass, replace

import pytest

from crocusshunt.configuration import (
    Change,
    Configuration,
    Edit,
    Evidence,
    apply_change,
    attach_digest,
    encode_row,
)
from crocusshunt.core import ManualClock
from crocusshunt.messages import ChangeFeed, FetchChanges, SnapshotFeed
from crocusshunt.replication import Feed
from crocusshunt.routing import FailureDomain, Row, find_row_table
from crocusshunt.witnesses import Announcement, Witness, WitnessState
from crocusshunt.witnesses import Testimony as Given

_SEATS = tuple(f'tcp://127.0.0.1:{port}' for port in (1, 2, 3))
_EVIDENCE_S = 4
_BOUND_S = 5
_HOUR_S = 3600
_FAR = float('inf')


@dataclass
class _DriftingClock(ManualClock):
    rate: float = 1

    def advance(self, seconds: float) -> None:
        super().advance(seconds * self.rate)


def _first_change() -> Change:
    rows: tuple[Row, ...] = (
        FailureDomain('addis-a', 'addis'),
        *(
            Witness(f'w{place}', address, 'addis', 'addis-a')
            for place, address in enumerate(_SEATS)
        ),
    )
    edits = tuple(
        Edit(find_row_table(row), row.name, None, encode_row(row))
        for row in rows
    )
    genesis = Configuration().digest
    return attach_digest(Change(1, 'c1', 'mina', 'first', 0, edits, genesis))


def _create_witnesses() -> dict[str, WitnessState]:
    witnesses = {address: WitnessState() for address in _SEATS}
    for log in witnesses.values():
        log.observe_head(1, version=1)
        log.observe_head(1, version=2)
    return witnesses


def _create_feed(clock: ManualClock) -> Feed:
    feed = Feed(clock)
    stale = Evidence(1, _FAR)
    assert feed.accept_changes((_first_change(),), stale, clock.monotonic())
    return feed


def _collect(
    feed: Feed,
    witnesses: dict[str, WitnessState],
    asked_at: float,
) -> None:
    feed.accept_testimonies(_ask(witnesses), asked_at)


def _ask(witnesses: dict[str, WitnessState]) -> tuple[Given, ...]:
    asked = (
        (address, log.create_testimony()) for address, log in witnesses.items()
    )
    return tuple(
        replace(given, address=address)
        for address, given in asked
        if given is not None
    )


def test_majority_honours_keys_for_an_hour() -> None:
    clock = ManualClock()
    feed = _create_feed(clock)
    witnesses = _create_witnesses()
    witnesses.pop(_SEATS[0])
    for _ in range(_HOUR_S):
        asked_at = clock.monotonic()
        clock.advance(1)
        _collect(feed, witnesses, asked_at)
        assert feed.measure_evidence_age() <= _EVIDENCE_S


def test_minority_fails_closed() -> None:
    clock = ManualClock()
    feed = _create_feed(clock)
    witnesses = _create_witnesses()
    _collect(feed, witnesses, clock.monotonic())
    alone = {_SEATS[0]: witnesses[_SEATS[0]]}
    for _ in range(_BOUND_S):
        clock.advance(1)
        _collect(feed, alone, clock.monotonic())
    assert feed.measure_evidence_age() > _EVIDENCE_S


def test_killed_writer_suspends_only_what_it_named() -> None:
    clock = ManualClock()
    feed = _create_feed(clock)
    witnesses = _create_witnesses()
    announced = Announcement('c2', 2, 2, keys=('court',), servers=('s1',))
    for address in _SEATS[1:]:
        witnesses[address].record(announced, clock.monotonic()).unwrap()
    _collect(feed, witnesses, clock.monotonic())
    assert feed.measure_evidence_age() == 0
    assert feed.find_suspension().keys == {'court'}
    assert feed.find_suspension().servers == {'s1'}
    log = witnesses[_SEATS[1]]
    assert not log.is_fence_due(clock.monotonic())
    clock.advance(_BOUND_S)
    assert log.is_fence_due(clock.monotonic())
    for log in witnesses.values():
        log.observe_head(1, version=3)
    _collect(feed, witnesses, clock.monotonic())
    assert not feed.find_suspension().keys


@pytest.mark.parametrize('rate', [0.99, 1, 1.01])
@pytest.mark.parametrize('seed', range(20))
def test_withdrawal_bound_with_drift_and_lost_messages(
    rate: float,
    seed: int,
) -> None:
    source = random.Random(seed)
    true_time = ManualClock()
    clock = _DriftingClock(rate=rate)
    feed = _create_feed(clock)
    witnesses = _create_witnesses()
    accepted_at = _FAR
    late: list[tuple[tuple[Given, ...], float]] = []
    for step in range(200):
        if step == 100:
            announced = Announcement('c2', 2, 2, keys=('court',))
            for seat in source.sample(_SEATS, 2):
                witnesses[seat].record(announced, true_time.monotonic())
            accepted_at = true_time.monotonic()
        reached = {
            address: log
            for address, log in witnesses.items()
            if source.randrange(3)
        }
        _collect(feed, reached, clock.monotonic())
        if late and source.randrange(2):
            feed.accept_testimonies(*late.pop(source.randrange(len(late))))
        late.append((_ask(reached), clock.monotonic()))
        pause = source.random()
        clock.advance(pause)
        true_time.advance(pause)
        is_honoured = feed.measure_evidence_age() <= _EVIDENCE_S
        is_suspended = 'court' in feed.find_suspension().keys
        if true_time.monotonic() - accepted_at > _BOUND_S:
            assert is_suspended or not is_honoured


def test_late_testimony_does_not_displace_a_younger_one() -> None:
    clock = ManualClock()
    feed = _create_feed(clock)
    witnesses = _create_witnesses()
    before = _ask(witnesses)
    clock.advance(1)
    announced = Announcement('c2', 2, 2, keys=('court',))
    for log in witnesses.values():
        log.record(announced, clock.monotonic()).unwrap()
    _collect(feed, witnesses, clock.monotonic())
    feed.accept_testimonies(before, 0)
    assert feed.find_suspension().keys == {'court'}


async def test_host_started_in_an_outage() -> None:
    clock = ManualClock()
    peer = _create_feed(clock)
    _collect(peer, _create_witnesses(), clock.monotonic())
    clock.advance(1)
    answer = await peer.answer(FetchChanges(0))
    assert isinstance(answer, ChangeFeed)
    started = Feed(clock)
    asked_at = clock.monotonic()
    clock.advance(1)
    started.accept_testimonies(answer.testimonies, asked_at)
    started.accept_changes(answer.changes, answer.evidence, asked_at)
    assert started.configuration == peer.configuration
    assert started.measure_evidence_age() == 2


async def test_host_started_from_a_peer_that_is_behind() -> None:
    clock = ManualClock()
    peer = _create_feed(clock)
    witnesses = _create_witnesses()
    for address in _SEATS[1:]:
        witnesses[address].observe_head(2, version=3)
    _collect(peer, witnesses, clock.monotonic())
    assert peer.is_behind()
    assert peer.measure_evidence_age() == _FAR


async def test_revision_never_falls() -> None:
    clock = ManualClock()
    feed = _create_feed(clock)
    held = feed.configuration
    feed.accept_snapshot(SnapshotFeed(0, '', (), Evidence(0, 0)), 0)
    other = replace(_first_change(), revision=3)
    assert not feed.accept_changes((other,), Evidence(3, 0), 0)
    assert feed.configuration == held
    assert apply_change(held, _first_change()).is_err()
