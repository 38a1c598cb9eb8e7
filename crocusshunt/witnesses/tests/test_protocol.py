"""The writers, witnesses and hosts together, in any order of events."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusshunt.core import ManualClock
from crocusshunt.witnesses import Announcement, AnnouncementLog, QuorumLog

_NAMES = ('a', 'b', 'c', 'd')
_SEATS = (('a', 'b', 'c'), ('b', 'c', 'd'), ('a', 'd', 'b'), ('c',))
_MAJORITIES = (
    *itertools.combinations(_NAMES, 2),
    *itertools.combinations(_NAMES, 3),
)
_EVIDENCE_S = 4
_WALKS = 6000
_STEPS = 16
_BOUND_S = 5


@dataclass
class _Writer:
    announcement: Announcement
    seats: tuple[str, ...]
    moved_to: tuple[str, ...]
    acknowledged: set[str] = field(default_factory=set)


@dataclass
class _Store:
    version: int = 1
    seats: list[tuple[str, ...]] = field(default_factory=lambda: [_SEATS[0]])
    accepted_at: list[float] = field(default_factory=lambda: [0])


class WitnessMachine(RuleBasedStateMachine):
    """Delays, losses, repeats, restarts and cut-off witnesses."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.store = _Store()
        self.witnesses = {name: AnnouncementLog() for name in _NAMES}
        self.writers: list[_Writer] = []
        self.held = 0
        self.log = QuorumLog(self.clock)
        for name in _NAMES:
            self.fence(name)

    @property
    def revision(self) -> int:
        return len(self.store.seats) - 1

    @rule(
        moved=st.sampled_from((None, None, *_SEATS)),
        names=st.sampled_from(_MAJORITIES),
    )
    def announce(
        self,
        moved: tuple[str, ...] | None,
        names: tuple[str, ...],
    ) -> None:
        revision = self.revision + 1
        announcement = Announcement(
            f'c{len(self.writers)}',
            revision,
            self.store.version,
            keys=(f'k{revision}',),
            moves_witnesses=moved is not None,
        )
        seats = self.store.seats[-1]
        self.writers.append(_Writer(announcement, seats, moved or seats))
        self.repeat_announcement(0, names)

    @rule(
        moved=st.sampled_from((None, None, *_SEATS)),
        names=st.sampled_from(_MAJORITIES),
    )
    def write(
        self,
        moved: tuple[str, ...] | None,
        names: tuple[str, ...],
    ) -> None:
        self.announce(moved, names)
        self.commit(0)

    @rule(pick=st.integers(0, 2), names=st.sampled_from(_MAJORITIES))
    def repeat_announcement(self, pick: int, names: tuple[str, ...]) -> None:
        for writer in self.writers[-1 - pick : len(self.writers) - pick]:
            for name in names:
                log = self.witnesses[name]
                now = self.clock.monotonic()
                if log.record(writer.announcement, now).is_ok():
                    writer.acknowledged.add(name)

    @rule(pick=st.sampled_from((0, 0, 1, 2)))
    def commit(self, pick: int) -> None:
        for writer in self.writers[-1 - pick : len(self.writers) - pick]:
            counted = writer.acknowledged.intersection(writer.seats)
            is_announced = len(counted) > len(writer.seats) // 2
            if is_announced and writer.announcement.base == self.store.version:
                self.store.version += 1
                self.store.seats.append(writer.moved_to)
                self.store.accepted_at.append(self.clock.monotonic())

    @rule(name=st.sampled_from(_NAMES))
    def poll_store(self, name: str) -> None:
        self.witnesses[name].observe(self.revision, self.store.version)

    @rule(name=st.sampled_from(_NAMES), is_fenced=st.booleans())
    def restart(self, name: str, is_fenced: bool) -> None:
        self.witnesses[name] = AnnouncementLog()
        self.poll_store(name)
        if is_fenced:
            self.fence(name)

    @rule(names=st.sampled_from(_MAJORITIES))
    def poll_several(self, names: tuple[str, ...]) -> None:
        for name in names:
            self.poll_store(name)

    @rule(name=st.sampled_from(_NAMES))
    def fence(self, name: str) -> None:
        self.poll_store(name)
        self.store.version += 1
        self.poll_store(name)

    @rule(
        names=st.sampled_from(_MAJORITIES),
        before=st.sampled_from((6, 0)),
        after=st.sampled_from((0, 3)),
    )
    def collect(self, names: tuple[str, ...], before: int, after: int) -> None:
        self.clock.advance(before)
        asked_at = self.clock.monotonic()
        answers = [(name, self.witnesses[name].testify()) for name in names]
        self.clock.advance(after)
        for name, found in answers:
            if found is not None:
                self.log.note(replace(found, address=name), asked_at)

    @rule()
    def follow(self) -> None:
        self.held = min(self.held + 1, self.revision)

    @invariant()
    def withdrawn_keys_are_refused_in_time(self) -> None:
        age = self.log.measure_age(self.held, self.store.seats[self.held])
        if age > _EVIDENCE_S:
            return
        suspended = self.log.find_suspension(self.held, _EVIDENCE_S).keys
        now = self.clock.monotonic()
        for revision in range(self.held + 1, self.revision + 1):
            is_late = now - self.store.accepted_at[revision] > _BOUND_S
            assert not is_late or f'k{revision}' in suspended


TestWitnessMachine = WitnessMachine.TestCase
TestWitnessMachine.settings = settings(
    derandomize=True,
    max_examples=400,
    stateful_step_count=16,
    deadline=None,
)


def test_random_walks() -> None:
    for seed in range(_WALKS):
        _walk(random.Random(seed))


def _walk(source: random.Random) -> None:
    machine = WitnessMachine()
    steps: tuple[Callable[[], None], ...] = (
        lambda: machine.announce(
            source.choice((None, None, *_SEATS)),
            source.choice(_MAJORITIES),
        ),
        lambda: machine.write(
            source.choice((None, None, *_SEATS)),
            source.choice(_MAJORITIES),
        ),
        lambda: machine.repeat_announcement(0, source.choice(_MAJORITIES)),
        lambda: machine.commit(source.randrange(2)),
        lambda: machine.poll_store(source.choice(_NAMES)),
        lambda: machine.restart(
            source.choice(_NAMES), source.randrange(3) == 0
        ),
        lambda: machine.fence(source.choice(_NAMES)),
        lambda: machine.collect(source.choice(_MAJORITIES), 6, 0),
        lambda: machine.collect(source.choice(_MAJORITIES), 0, 3),
        machine.follow,
    )
    for _ in range(_STEPS):
        source.choice(steps)()
        machine.withdrawn_keys_are_refused_in_time()
