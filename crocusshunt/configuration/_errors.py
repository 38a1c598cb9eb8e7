"""Errors of reading and changing the configuration."""

from dataclasses import dataclass

from crocusshunt.core import CrocusError, Fault


@dataclass(frozen=True, slots=True)
class Edit:
    """One row before and after a change, in text form.

    :param before: the row that is replaced or removed, None if the edit adds
        a row.
    :param after: the new row, None if the edit removes the row.
    """

    table: str
    name: str
    before: str | None
    after: str | None


@dataclass(unsafe_hash=True)
class ConfigurationError(CrocusError):
    """A change that cannot be applied to a configuration."""

    code = 'configuration'


@dataclass(unsafe_hash=True)
class BrokenChainError(ConfigurationError):
    """A change that does not continue the hash chain of the current revision.

    :param held: revision that the process has applied.
    :param offered: revision of the change that was refused.
    """

    code = 'broken-chain'

    held: int
    offered: int


@dataclass(unsafe_hash=True)
class MissingHistoryError(ConfigurationError):
    """Changes were requested that are older than the history kept in memory.

    :param oldest: oldest revision after which all changes are kept.
    """

    code = 'missing-history'

    oldest: int


@dataclass(unsafe_hash=True)
class ProposalError(CrocusError):
    """A proposed change that was not confirmed as accepted."""

    code = 'proposal'


@dataclass(unsafe_hash=True)
class InvalidChangeError(ProposalError):
    """A change that failed validation; nothing was written.

    :param faults: every fault that the validation found.
    """

    code = 'invalid-change'

    faults: tuple[Fault, ...]

    def describe(self) -> str:
        """Return all faults, one per line."""
        return '\n'.join(str(fault) for fault in self.faults)


@dataclass(unsafe_hash=True)
class RevisionConflictError(ProposalError):
    """Another change was accepted first; nothing was written.

    :param expected: revision that the proposed change was based on.
    :param actual: newest revision in the store.
    :param author: author of the first change accepted after ``expected``.
    :param reason: reason given for that change.
    :param edits: edits of that change.
    """

    code = 'revision-conflict'

    expected: int
    actual: int
    author: str
    reason: str
    edits: tuple[Edit, ...] = ()

    def describe(self) -> str:
        """Return who made the other change, why, and which rows it changed."""
        rows = ', '.join(f'{edit.table} {edit.name}' for edit in self.edits)
        return (
            f'{self.code}: revision {self.actual} is in force, not '
            f'{self.expected}; {self.author} changed {rows or "other rows"} '
            f'first: {self.reason}'
        )


@dataclass(unsafe_hash=True)
class UnknownOutcomeError(ProposalError):
    """The store's answer was lost, so the change may have been accepted.

    Proposing it again with the same change id is safe.
    """

    code = 'unknown-outcome'

    change_id: str


@dataclass(unsafe_hash=True)
class UnreachableStoreError(ProposalError):
    """The store could not be used; this call wrote nothing.

    It could not be reached, or it holds changes that this process has not
    applied yet.
    """

    code = 'store-unreachable'

    change_id: str


@dataclass(unsafe_hash=True)
class DivergedHistoryError(ProposalError):
    """The process's history differs from the store's; nothing was written.

    :param held: revision that the process has applied.
    :param actual: newest revision in the store.
    """

    code = 'history-diverged'

    held: int
    actual: int


@dataclass(unsafe_hash=True)
class MissingQuorumError(ProposalError):
    """Too few witnesses acknowledged the change; nothing was written.

    :param noted: number of witnesses that acknowledged it.
    :param needed: number of witnesses that must acknowledge it.
    """

    code = 'witnesses-missing'

    change_id: str
    noted: int
    needed: int


@dataclass(unsafe_hash=True)
class ReusedChangeIdError(ProposalError):
    """The change id belongs to a different change that was accepted before.

    :param revision: revision of the accepted change.
    :param author: author of the accepted change.
    """

    code = 'change-id-reused'

    change_id: str
    revision: int
    author: str


@dataclass(unsafe_hash=True)
class BusyHeadError(ProposalError):
    """Every write attempt conflicted with another one; nothing was written.

    The version of the head row changed each time between its reading and
    the conditional write, although no new revision appeared.
    """

    code = 'head-busy'

    change_id: str
