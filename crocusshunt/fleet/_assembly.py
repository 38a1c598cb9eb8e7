"""Status messages of other hosts, put together from their parts."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

from crocusshunt.fleet._messages import (
    Heartbeat,
    RegionSummary,
    StatusMessage,
    StatusPart,
)
from crocusshunt.fleet._parts import MAX_PARTS_COUNT

_Status = TypeVar('_Status', Heartbeat, RegionSummary)
# Fields of a status that tell a state. Those of its other fields that come in
# parts are news, which count by themselves.
_STATE_FIELDS = ('busy', 'demand')


@dataclass(frozen=True, slots=True)
class AssembledStatus(Generic[_Status]):
    """A status as far as its parts have come.

    :param head: the first message of it.
    :param parts: the others that have come.
    :param status: all that they tell. Until all have come, entries that they
        lack are those of the status before.
    """

    head: _Status
    parts: tuple[StatusPart, ...]
    status: _Status

    @property
    def is_whole(self) -> bool:
        """Tell whether all parts have come."""
        return 1 + len(self.parts) >= self.head.parts

    @property
    def told(self) -> _Status:
        """Return the status without entries of the one before."""
        return _join(self.head, (self.head, *self.parts))

    def add(self, part: StatusPart) -> 'AssembledStatus[_Status]':
        """Return this status with a part of it; ignore any other part."""
        if self.is_whole or len(self.parts) >= MAX_PARTS_COUNT:
            return self
        if part in self.parts:
            return self
        if part.sequence != self.head.sequence:
            return self
        if part.started_at != self.head.started_at:
            return self
        parts: tuple[StatusPart, ...] = (*self.parts, part)
        is_whole = 1 + len(parts) >= self.head.parts
        before = self.head if is_whole else self.status
        joined = _join(self.head, (before, self.head, *parts))
        return AssembledStatus(self.head, parts, joined)


def begin_status(
    head: _Status, before: _Status | None
) -> AssembledStatus[_Status]:
    """Return a status of which the first message has come.

    :param before: what the last status of the same sender told by itself, so
        that no entry outlasts two statuses; None without one.

    >>> before = Heartbeat('h1', 1, 7, True, demand={'c1': 2, 'c2': 3})
    >>> head = Heartbeat('h1', 1, 8, True, demand={'c1': 4}, parts=2)
    >>> begun = begin_status(head, before)
    >>> begun.status.demand
    {'c1': 4, 'c2': 3}
    >>> begun.add(StatusPart('h1', 1, 8, demand={'c3': 1})).status.demand
    {'c1': 4, 'c3': 1}
    """
    if head.parts == 1 or before is None:
        return AssembledStatus(head, (), head)
    if before.started_at != head.started_at:
        return AssembledStatus(head, (), head)
    return AssembledStatus(head, (), _join(head, (before, head)))


def _join(head: _Status, told: Sequence[StatusMessage | StatusPart]) -> _Status:
    """Return a message with the entries of several, the newest last."""
    joined = {
        name: _join_entries([getattr(one, name) for one in told])
        for name in _STATE_FIELDS
        if hasattr(head, name)
    }
    return msgspec.structs.replace(head, **joined)


def _join_entries(entries: Sequence[Any]) -> Any:
    if isinstance(entries[0], dict):
        return {key: one[key] for one in entries for key in one}
    return tuple(dict.fromkeys(name for one in entries for name in one))
