"""Announcements of changes, sent to the witnesses before the store write."""

from collections.abc import Iterator
from typing import Protocol

from crocusshunt.configuration._changes import Change
from crocusshunt.configuration._errors import Edit
from crocusshunt.configuration._row_encoding import decode_row
from crocusshunt.routing import Server, ServerState
from crocusshunt.witnesses import Announcement, Witness

_KEY_TABLE = 'key'
_SERVER_TABLE = 'server'
_WITNESS_TABLE = 'witness'


class Announcer(Protocol):
    """Sends announcements of changes to witnesses."""

    async def announce(
        self,
        announcement: Announcement,
        witnesses: tuple[Witness, ...],
    ) -> frozenset[str]:
        """Send an announcement and return who acknowledged it.

        :param witnesses: the witnesses to send it to.
        :return: names of the witnesses that recorded the announcement.
        """


def compute_quorum_size(
    witnesses: tuple[Witness, ...],
    noted: frozenset[str],
    destroyed: frozenset[str],
) -> int:
    """Return how many witnesses must acknowledge a change before it is written.

    Without destroyed witnesses this is a majority of all. A destroyed
    witness never testifies again, so any majority that later testifies to a
    revision consists of remaining witnesses; at least one of them must have
    acknowledged the change. That takes ``remaining - majority + 1``.

    :param witnesses: all witnesses that the configuration names.
    :param noted: names of witnesses that acknowledged it. They are alive,
        even if ``destroyed`` names them.
    :param destroyed: names of witnesses that the operator states to be
        destroyed.

    >>> witnesses = tuple(
    ...     Witness(name, f'tcp://10.0.0.1:{port}', 'addis', 'addis-a')
    ...     for port, name in enumerate('abcde', start=1)
    ... )
    >>> compute_quorum_size(witnesses, frozenset('a'), frozenset())
    3
    >>> compute_quorum_size(witnesses, frozenset('a'), frozenset('cde'))
    0
    >>> compute_quorum_size(witnesses, frozenset('c'), frozenset('cde'))
    1
    """
    majority = len(witnesses) // 2 + 1
    unavailable = destroyed - noted
    remaining = sum(witness.name not in unavailable for witness in witnesses)
    if remaining == len(witnesses):
        return majority
    return max(0, remaining - majority + 1)


def build_announcement(change: Change, base: int) -> Announcement:
    """Return the announcement of a change for the witnesses.

    It names the keys and backend servers that the change may withdraw, so
    that hosts can stop using them before they have applied the change.

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
        servers=tuple(_find_withdrawn_servers(change.edits)),
        moves_witnesses=_WITNESS_TABLE in tables,
    )


def _find_withdrawn_servers(edits: tuple[Edit, ...]) -> Iterator[str]:
    for edit in edits:
        if edit.table == _SERVER_TABLE and edit.before is not None:
            if edit.after is None or _is_draining(edit.name, edit.after):
                yield edit.name


def _is_draining(name: str, text: str) -> bool:
    row = decode_row(_SERVER_TABLE, name, text).ok()
    return isinstance(row, Server) and row.state is ServerState.draining
