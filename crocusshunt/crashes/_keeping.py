"""Rows of crashes that a host has to write to a store, and to remove."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import islice

from crocusshunt.crashes._records import CrashRecord

# A store that comes back from a copy brings rows back that were removed since.
# So many removals are remembered for that, the newest ones.
_MAX_REMOVED_COUNT = 4096


@dataclass(frozen=True, slots=True)
class RecordChanges:
    """Rows to write and to remove in one call.

    :param removals: keys of the rows.
    """

    writes: tuple[CrashRecord, ...] = ()
    removals: tuple[str, ...] = ()

    @property
    def count(self) -> int:
        """Return the number of rows."""
        return len(self.writes) + len(self.removals)


@dataclass(slots=True)
class RecordKeeping:
    """What a host knows of the rows that it keeps, by their keys.

    >>> keeping = RecordKeeping()
    >>> record = CrashRecord('f1', 's1@7', at=0)
    >>> keeping.update({record.key: record}, (record.key,))
    >>> keeping.plan(100).writes == (record,)
    True
    >>> keeping.note_done(keeping.plan(100))
    >>> keeping.plan(100).count
    0
    >>> keeping.update({}, ())
    >>> keeping.plan(100).removals == (record.key,)
    True
    """

    _kept: dict[str, CrashRecord] = field(default_factory=dict)
    _stored: set[str] = field(default_factory=set)
    _outdated: set[str] = field(default_factory=set)
    _removed: dict[str, None] = field(default_factory=dict)

    def note_read(self, keys: Iterable[str]) -> None:
        """Record that the store has some rows."""
        self._stored.update(keys)

    def update(
        self, records: Mapping[str, CrashRecord], kept: Collection[str]
    ) -> None:
        """Take over what the store is to have now.

        Rows that this host kept are removed once their records have ended,
        and left to others if only their keeper has changed.

        :param records: of all crashes that are to last.
        :param kept: keys of those that this host keeps.
        """
        self._outdated |= self._kept.keys() - records.keys()
        self._outdated -= records.keys()
        self._stored &= records.keys() | self._outdated
        self._kept = {key: records[key] for key in kept}

    def note_return(self) -> None:
        """Record that the store came back from an older copy."""
        self._stored.clear()
        self._outdated |= self._removed.keys() - self._kept.keys()

    def plan(self, max_count: int) -> RecordChanges:
        """Return what is to be changed next.

        :param max_count: largest number of rows.
        """
        missing = (
            record
            for key, record in self._kept.items()
            if key not in self._stored
        )
        writes = tuple(islice(missing, max_count))
        removals = islice(sorted(self._outdated), max_count - len(writes))
        return RecordChanges(writes, tuple(removals))

    def note_done(self, changes: RecordChanges) -> None:
        """Record that the store made some changes."""
        self._stored.update(record.key for record in changes.writes)
        self._stored.difference_update(changes.removals)
        self._outdated.difference_update(changes.removals)
        self._removed.update(dict.fromkeys(changes.removals))
        while len(self._removed) > _MAX_REMOVED_COUNT:
            self._removed.pop(next(iter(self._removed)))
