"""Values that operators read from and send to the API."""

from dataclasses import dataclass

from crocusshunt.configuration import EditRequest
from crocusshunt.routing import Tables


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The tables in force as of one revision."""

    revision: int
    tables: Tables


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change to propose.

    :param change_id: identifier of the change, repeated to retry it safely.
    :param expected: revision that the edits are based on.
    """

    change_id: str
    expected: int
    reason: str
    edits: tuple[EditRequest, ...]
