"""Failures of reading and changing the configuration."""

from dataclasses import dataclass

from crocusshunt.core import CrocusError, Fault


@dataclass(frozen=True, slots=True)
class Edit:
    """One row before and after a change, in text form.

    :param before: the row replaced or removed, None where there was none.
    :param after: the row put, None where it is removed.
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
    """A change that does not follow the revision held.

    :param held: revision held.
    :param offered: revision of the change.
    """

    code = 'broken-chain'

    held: int
    offered: int


@dataclass(unsafe_hash=True)
class MissingHistoryError(ConfigurationError):
    """Changes older than the history kept in memory.

    :param oldest: oldest revision from which changes are kept.
    """

    code = 'missing-history'

    oldest: int


@dataclass(unsafe_hash=True)
class ProposalError(CrocusError):
    """A proposed change that was not confirmed as accepted."""

    code = 'proposal'


@dataclass(unsafe_hash=True)
class InvalidChangeError(ProposalError):
    """A change refused by the checks; nothing was written."""

    code = 'invalid-change'

    faults: tuple[Fault, ...]

    def describe(self) -> str:
        """Return all faults, one a line."""
        return '\n'.join(str(fault) for fault in self.faults)


@dataclass(unsafe_hash=True)
class RevisionConflictError(ProposalError):
    """Another change came first; nothing was written.

    :param expected: revision that the operator had seen.
    :param actual: revision in force.
    :param author: author of the change that came first.
    :param reason: reason of the change that came first.
    :param edits: what the change that came first did.
    """

    code = 'revision-conflict'

    expected: int
    actual: int
    author: str
    reason: str
    edits: tuple[Edit, ...] = ()

    def describe(self) -> str:
        """Return who came first, why, and which rows changed."""
        rows = ', '.join(f'{edit.table} {edit.name}' for edit in self.edits)
        return (
            f'{self.code}: revision {self.actual} is in force, not '
            f'{self.expected}; {self.author} changed {rows or "other rows"} '
            f'first: {self.reason}'
        )


@dataclass(unsafe_hash=True)
class UnknownOutcomeError(ProposalError):
    """The store's answer was lost; ask again with the change id."""

    code = 'unknown-outcome'

    change_id: str


@dataclass(unsafe_hash=True)
class UnreachableStoreError(ProposalError):
    """The store could not be read; nothing was written."""

    code = 'store-unreachable'

    change_id: str


@dataclass(unsafe_hash=True)
class DivergedHistoryError(ProposalError):
    """The store's newest revision is not the one held; nothing was written.

    :param held: revision held by the process that was asked.
    :param actual: revision in the store.
    """

    code = 'history-diverged'

    held: int
    actual: int


@dataclass(unsafe_hash=True)
class MissingQuorumError(ProposalError):
    """Too few witnesses noted the change; nothing was written.

    :param noted: witnesses that noted it.
    :param needed: witnesses that must.
    """

    code = 'witnesses-missing'

    change_id: str
    noted: int
    needed: int


@dataclass(unsafe_hash=True)
class ReusedChangeIdError(ProposalError):
    """The change id stands for a different accepted change.

    :param revision: revision of the accepted change.
    :param author: its author.
    """

    code = 'change-id-reused'

    change_id: str
    revision: int
    author: str


@dataclass(unsafe_hash=True)
class BusyHeadError(ProposalError):
    """The head row kept changing without a new revision; nothing written."""

    code = 'head-busy'

    change_id: str
