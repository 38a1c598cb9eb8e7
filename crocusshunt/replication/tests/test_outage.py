"""Tests of the evidence on hosts while the store cannot be reached.

The store may be down, or the host may be cut off from it. The tests guard
against a host that loses its evidence although a majority of the witnesses
answers, and against one that accepts withdrawn keys for too long.
"""

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

# pytest would collect an imported class whose name starts with "Test".
from crocusshunt.witnesses import Testimony as WitnessTestimony

_WITNESS_ADDRESSES = tuple(f'tcp://127.0.0.1:{port}' for port in (1, 2, 3))
_MAX_EVIDENCE_AGE_S = 4
_WITHDRAWAL_BOUND_S = 5
_HOUR_S = 3600
_INFINITE_S = float('inf')


@dataclass
class _DriftingClock(ManualClock):
    rate: float = 1

    def advance(self, seconds: float) -> None:
        super().advance(seconds * self.rate)


def _create_first_change() -> Change:
    rows: tuple[Row, ...] = (
        FailureDomain('addis-a', 'addis'),
        *(
            Witness(f'w{index}', address, 'addis', 'addis-a')
            for index, address in enumerate(_WITNESS_ADDRESSES)
        ),
    )
    edits = tuple(
        Edit(find_row_table(row), row.name, None, encode_row(row))
        for row in rows
    )
    genesis = Configuration().digest
    return attach_digest(Change(1, 'c1', 'mina', 'first', 0, edits, genesis))


def _create_witnesses() -> dict[str, WitnessState]:
    witnesses = {address: WitnessState() for address in _WITNESS_ADDRESSES}
    for witness in witnesses.values():
        witness.observe_head(1, version=1)
        witness.observe_head(1, version=2)
    return witnesses


def _create_feed(clock: ManualClock) -> Feed:
    feed = Feed(clock)
    no_evidence = Evidence(1, _INFINITE_S)
    assert feed.accept_changes(
        (_create_first_change(),), no_evidence, clock.monotonic()
    )
    return feed


def _collect(
    feed: Feed,
    witnesses: dict[str, WitnessState],
    asked_at: float,
) -> None:
    feed.accept_testimonies(_list_testimonies(witnesses), asked_at)


def _list_testimonies(
    witnesses: dict[str, WitnessState],
) -> tuple[WitnessTestimony, ...]:
    answers = (
        (address, witness.create_testimony())
        for address, witness in witnesses.items()
    )
    return tuple(
        replace(testimony, address=address)
        for address, testimony in answers
        if testimony is not None
    )


def test_majority_keeps_evidence_recent_for_an_hour() -> None:
    clock = ManualClock()
    feed = _create_feed(clock)
    witnesses = _create_witnesses()
    witnesses.pop(_WITNESS_ADDRESSES[0])
    for _ in range(_HOUR_S):
        asked_at = clock.monotonic()
        clock.advance(1)
        _collect(feed, witnesses, asked_at)
        assert feed.measure_evidence_age() <= _MAX_EVIDENCE_AGE_S


def test_evidence_expires_with_a_minority() -> None:
    clock = ManualClock()
    feed = _create_feed(clock)
    witnesses = _create_witnesses()
    _collect(feed, witnesses, clock.monotonic())
    minority = {_WITNESS_ADDRESSES[0]: witnesses[_WITNESS_ADDRESSES[0]]}
    for _ in range(_WITHDRAWAL_BOUND_S):
        clock.advance(1)
        _collect(feed, minority, clock.monotonic())
    assert feed.measure_evidence_age() > _MAX_EVIDENCE_AGE_S


def test_unfinished_change_suspends_only_its_rows() -> None:
    """A writer that dies after its announcement suspends what it named."""
    clock = ManualClock()
    feed = _create_feed(clock)
    witnesses = _create_witnesses()
    announced = Announcement('c2', 2, 2, keys=('court',), servers=('s1',))
    for address in _WITNESS_ADDRESSES[1:]:
        witnesses[address].record(announced, clock.monotonic()).unwrap()
    _collect(feed, witnesses, clock.monotonic())
    assert feed.measure_evidence_age() == 0
    assert feed.find_suspension().keys == {'court'}
    assert feed.find_suspension().servers == {'s1'}
    witness = witnesses[_WITNESS_ADDRESSES[1]]
    assert not witness.is_fence_due(clock.monotonic())
    clock.advance(_WITHDRAWAL_BOUND_S)
    assert witness.is_fence_due(clock.monotonic())
    for witness in witnesses.values():
        witness.observe_head(1, version=3)
    _collect(feed, witnesses, clock.monotonic())
    assert not feed.find_suspension().keys


@pytest.mark.parametrize('rate', [0.99, 1, 1.01])
@pytest.mark.parametrize('seed', range(20))
def test_withdrawal_bound_with_drift_and_lost_messages(
    rate: float,
    seed: int,
) -> None:
    generator = random.Random(seed)
    reference_clock = ManualClock()
    clock = _DriftingClock(rate=rate)
    feed = _create_feed(clock)
    witnesses = _create_witnesses()
    accepted_at = _INFINITE_S
    delayed: list[tuple[tuple[WitnessTestimony, ...], float]] = []
    for step in range(200):
        if step == 100:
            announced = Announcement('c2', 2, 2, keys=('court',))
            for chosen in generator.sample(_WITNESS_ADDRESSES, 2):
                witnesses[chosen].record(announced, reference_clock.monotonic())
            accepted_at = reference_clock.monotonic()
        reached = {
            address: witness
            for address, witness in witnesses.items()
            if generator.randrange(3)
        }
        _collect(feed, reached, clock.monotonic())
        if delayed and generator.randrange(2):
            feed.accept_testimonies(
                *delayed.pop(generator.randrange(len(delayed)))
            )
        delayed.append((_list_testimonies(reached), clock.monotonic()))
        pause = generator.random()
        clock.advance(pause)
        reference_clock.advance(pause)
        is_key_accepted = feed.measure_evidence_age() <= _MAX_EVIDENCE_AGE_S
        is_suspended = 'court' in feed.find_suspension().keys
        if reference_clock.monotonic() - accepted_at > _WITHDRAWAL_BOUND_S:
            assert is_suspended or not is_key_accepted


def test_late_testimony_does_not_replace_newer_one() -> None:
    clock = ManualClock()
    feed = _create_feed(clock)
    witnesses = _create_witnesses()
    earlier = _list_testimonies(witnesses)
    clock.advance(1)
    announced = Announcement('c2', 2, 2, keys=('court',))
    for witness in witnesses.values():
        witness.record(announced, clock.monotonic()).unwrap()
    _collect(feed, witnesses, clock.monotonic())
    feed.accept_testimonies(earlier, 0)
    assert feed.find_suspension().keys == {'court'}


async def test_started_host_gets_evidence_from_a_peer() -> None:
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


async def test_peer_that_is_behind_has_no_evidence() -> None:
    clock = ManualClock()
    peer = _create_feed(clock)
    witnesses = _create_witnesses()
    for address in _WITNESS_ADDRESSES[1:]:
        witnesses[address].observe_head(2, version=3)
    _collect(peer, witnesses, clock.monotonic())
    assert peer.is_behind()
    assert peer.measure_evidence_age() == _INFINITE_S


async def test_revision_never_decreases() -> None:
    clock = ManualClock()
    feed = _create_feed(clock)
    previous = feed.configuration
    feed.accept_snapshot(SnapshotFeed(0, '', (), Evidence(0, 0)), 0)
    other = replace(_create_first_change(), revision=3)
    assert not feed.accept_changes((other,), Evidence(3, 0), 0)
    assert feed.configuration == previous
    assert apply_change(previous, _create_first_change()).is_err()
