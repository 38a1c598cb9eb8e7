"""What operators read and propose."""

from dataclasses import dataclass

from crocusshunt.configuration import EditRequest
from crocusshunt.routing import Tables


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The tables in force."""

    revision: int
    tables: Tables


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change to propose.

    :param expected: revision that the edits were made from.
    """

    change_id: str
    expected: int
    reason: str
    edits: tuple[EditRequest, ...]
