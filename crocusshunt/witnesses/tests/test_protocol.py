"""Model tests of the witness protocol with random orders of events.

Writers, witnesses, the store and one host take steps in any order, with lost,
delayed and repeated announcements, restarted witnesses and unreachable ones.
The tests guard against a host that accepts a key longer than the bound after
the change that withdrew it was written.
"""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusshunt.core import ManualClock
from crocusshunt.witnesses import Announcement, QuorumTracker, WitnessState

_NAMES = ('a', 'b', 'c', 'd')
_WITNESS_LISTS = (('a', 'b', 'c'), ('b', 'c', 'd'), ('a', 'd', 'b'), ('c',))
_MAJORITIES = (
    *itertools.combinations(_NAMES, 2),
    *itertools.combinations(_NAMES, 3),
)
_MAX_EVIDENCE_AGE_S = 4
_RANDOM_RUNS = 6000
_STEPS_PER_RUN = 16
_WITHDRAWAL_BOUND_S = 5


@dataclass
class _Writer:
    """A writer with an announced change.

    :param witnesses: witnesses in force, whose acknowledgements count.
    :param witnesses_after: witnesses in force after the change.
    """

    announcement: Announcement
    witnesses: tuple[str, ...]
    witnesses_after: tuple[str, ...]
    acknowledged: set[str] = field(default_factory=set)


@dataclass
class _Store:
    """The head row, and the witnesses and time of each revision."""

    version: int = 1
    witness_lists: list[tuple[str, ...]] = field(
        default_factory=lambda: [_WITNESS_LISTS[0]],
    )
    accepted_at: list[float] = field(default_factory=lambda: [0])


class WitnessMachine(RuleBasedStateMachine):
    """Steps of the writers, the witnesses, the store and one host.

    The argument ``moved`` is the new list of witnesses, if a change has one.
    """

    def __init__(self) -> None:
        """Start with all witnesses ready to testify."""
        super().__init__()
        self.clock = ManualClock()
        self.store = _Store()
        self.witnesses = {name: WitnessState() for name in _NAMES}
        self.writers: list[_Writer] = []
        self.host_revision = 0
        self.quorum_tracker = QuorumTracker(self.clock)
        for name in _NAMES:
            self.fence(name)

    @property
    def revision(self) -> int:
        """Return the newest revision in the store."""
        return len(self.store.witness_lists) - 1

    @rule(
        moved=st.sampled_from((None, None, *_WITNESS_LISTS)),
        names=st.sampled_from(_MAJORITIES),
    )
    def announce(
        self,
        moved: tuple[str, ...] | None,
        names: tuple[str, ...],
    ) -> None:
        """Announce a new change to some witnesses."""
        revision = self.revision + 1
        announcement = Announcement(
            f'c{len(self.writers)}',
            revision,
            self.store.version,
            keys=(f'k{revision}',),
            moves_witnesses=moved is not None,
        )
        witnesses = self.store.witness_lists[-1]
        self.writers.append(
            _Writer(announcement, witnesses, moved or witnesses),
        )
        self.repeat_announcement(0, names)

    @rule(
        moved=st.sampled_from((None, None, *_WITNESS_LISTS)),
        names=st.sampled_from(_MAJORITIES),
    )
    def write(
        self,
        moved: tuple[str, ...] | None,
        names: tuple[str, ...],
    ) -> None:
        """Announce a new change and write it at once."""
        self.announce(moved, names)
        self.commit(0)

    @rule(pick=st.integers(0, 2), names=st.sampled_from(_MAJORITIES))
    def repeat_announcement(self, pick: int, names: tuple[str, ...]) -> None:
        """Announce a recent change again.

        :param pick: how many changes were announced after it.
        """
        for writer in self.writers[-1 - pick : len(self.writers) - pick]:
            for name in names:
                witness = self.witnesses[name]
                now = self.clock.monotonic()
                if witness.record(writer.announcement, now).is_ok():
                    writer.acknowledged.add(name)

    @rule(pick=st.sampled_from((0, 0, 1, 2)))
    def commit(self, pick: int) -> None:
        """Write a recent change if enough witnesses acknowledged it.

        The write takes effect only if the head row is unchanged since.

        :param pick: how many changes were announced after it.
        """
        for writer in self.writers[-1 - pick : len(self.writers) - pick]:
            counted = writer.acknowledged.intersection(writer.witnesses)
            is_announced = len(counted) > len(writer.witnesses) // 2
            if is_announced and writer.announcement.base == self.store.version:
                self.store.version += 1
                self.store.witness_lists.append(writer.witnesses_after)
                self.store.accepted_at.append(self.clock.monotonic())

    @rule(name=st.sampled_from(_NAMES))
    def poll_store(self, name: str) -> None:
        """Let a witness read the head row."""
        self.witnesses[name].observe_head(self.revision, self.store.version)

    @rule(name=st.sampled_from(_NAMES), is_fenced=st.booleans())
    def restart(self, name: str, is_fenced: bool) -> None:
        """Restart a witness, which loses its state."""
        self.witnesses[name] = WitnessState()
        self.poll_store(name)
        if is_fenced:
            self.fence(name)

    @rule(names=st.sampled_from(_MAJORITIES))
    def poll_several(self, names: tuple[str, ...]) -> None:
        """Let several witnesses read the head row."""
        for name in names:
            self.poll_store(name)

    @rule(name=st.sampled_from(_NAMES))
    def fence(self, name: str) -> None:
        """Let a witness rewrite the head row unchanged."""
        self.poll_store(name)
        self.store.version += 1
        self.poll_store(name)

    @rule(
        names=st.sampled_from(_MAJORITIES),
        before=st.sampled_from((6, 0)),
        after=st.sampled_from((0, 3)),
    )
    def collect(self, names: tuple[str, ...], before: int, after: int) -> None:
        """Let the host collect testimonies.

        :param before: seconds that pass before the request.
        :param after: seconds that the answers take.
        """
        self.clock.advance(before)
        asked_at = self.clock.monotonic()
        answers = [
            (name, self.witnesses[name].create_testimony()) for name in names
        ]
        self.clock.advance(after)
        for name, testimony in answers:
            if testimony is not None:
                self.quorum_tracker.add(
                    replace(testimony, address=name), asked_at
                )

    @rule()
    def follow(self) -> None:
        """Let the host apply the next change."""
        self.host_revision = min(self.host_revision + 1, self.revision)

    @invariant()
    def withdrawn_keys_are_refused_in_time(self) -> None:
        """Check the host, which refuses all keys if its evidence is old."""
        age = self.quorum_tracker.measure_quorum_age(
            self.host_revision, self.store.witness_lists[self.host_revision]
        )
        if age > _MAX_EVIDENCE_AGE_S:
            return
        suspended = self.quorum_tracker.find_suspension(
            self.host_revision, _MAX_EVIDENCE_AGE_S
        ).keys
        now = self.clock.monotonic()
        for revision in range(self.host_revision + 1, self.revision + 1):
            is_late = (
                now - self.store.accepted_at[revision] > _WITHDRAWAL_BOUND_S
            )
            assert not is_late or f'k{revision}' in suspended


TestWitnessMachine = WitnessMachine.TestCase
TestWitnessMachine.settings = settings(
    derandomize=True,
    max_examples=400,
    stateful_step_count=16,
    deadline=None,
)


def test_random_walks() -> None:
    for seed in range(_RANDOM_RUNS):
        _run_random_steps(random.Random(seed))


def _run_random_steps(source: random.Random) -> None:
    machine = WitnessMachine()
    steps: tuple[Callable[[], None], ...] = (
        lambda: machine.announce(
            source.choice((None, None, *_WITNESS_LISTS)),
            source.choice(_MAJORITIES),
        ),
        lambda: machine.write(
            source.choice((None, None, *_WITNESS_LISTS)),
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
    for _ in range(_STEPS_PER_RUN):
        source.choice(steps)()
        machine.withdrawn_keys_are_refused_in_time()
