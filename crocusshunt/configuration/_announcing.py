"""What a writer announces to the witnesses before it writes."""

from collections.abc import Iterator
from typing import Protocol

from crocusshunt.configuration._changes import Change
from crocusshunt.configuration._errors import Edit
from crocusshunt.configuration._rows import decode_row
from crocusshunt.routing import Server, ServerState
from crocusshunt.witnesses import Announcement, Witness

_KEY_TABLE = 'key'
_SERVER_TABLE = 'server'
_WITNESS_TABLE = 'witness'


class Announcer(Protocol):
    """Tells witnesses of a change."""

    async def announce(
        self,
        announcement: Announcement,
        witnesses: tuple[Witness, ...],
    ) -> frozenset[str]:
        """Return the names of the witnesses that noted a change."""


def count_quorum(
    witnesses: tuple[Witness, ...],
    noted: frozenset[str],
    destroyed: frozenset[str],
) -> int:
    """Return how many witnesses must note a change.

    A destroyed witness testifies no more, so every majority that vouches
    consists of the others; it must share one with those that noted.

    :param noted: names of witnesses that noted it, and so are alive.
    :param destroyed: names of witnesses that are stated to be destroyed.

    >>> seats = tuple(
    ...     Witness(name, f'tcp://10.0.0.1:{port}', 'addis', 'addis-a')
    ...     for port, name in enumerate('abcde', start=1)
    ... )
    >>> count_quorum(seats, frozenset('a'), frozenset())
    3
    >>> count_quorum(seats, frozenset('a'), frozenset('cde'))
    0
    >>> count_quorum(seats, frozenset('c'), frozenset('cde'))
    1
    """
    majority = len(witnesses) // 2 + 1
    gone = destroyed - noted
    left = sum(one.name not in gone for one in witnesses)
    if left == len(witnesses):
        return majority
    return max(0, left - majority + 1)


def describe_change(change: Change, base: int) -> Announcement:
    """Return the announcement of a change.

    :param base: version of the head row on which the write is conditional.
    """
    tables = {edit.table for edit in change.edits}
    keys = (
        edit.name
        for edit in change.edits
        if edit.table == _KEY_TABLE and edit.before is not None
    )
    return Announcement(
        change_id=change.change_id,
        revision=change.revision,
        base=base,
        keys=tuple(keys),
        servers=tuple(_find_leaving(change.edits)),
        moves_witnesses=_WITNESS_TABLE in tables,
    )


def _find_leaving(edits: tuple[Edit, ...]) -> Iterator[str]:
    for edit in edits:
        if edit.table == _SERVER_TABLE and edit.before is not None:
            if edit.after is None or _is_draining(edit.name, edit.after):
                yield edit.name


def _is_draining(name: str, text: str) -> bool:
    row = decode_row(_SERVER_TABLE, name, text).ok()
    return isinstance(row, Server) and row.state is ServerState.draining
