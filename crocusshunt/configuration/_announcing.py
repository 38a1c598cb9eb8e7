"""What a writer announces to the witnesses before it writes."""

from collections.abc import Iterator
from typing import Protocol

from result import Result

from crocusshunt.configuration._changes import Change
from crocusshunt.configuration._errors import Edit, MissingQuorumError
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
    ) -> Result[None, MissingQuorumError]:
        """Return once a majority of the witnesses has noted a change."""


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
