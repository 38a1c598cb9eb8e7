"""Announcements of changes, and the state and testimony of one witness."""

from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.core import CrocusError

_UNREAD_VERSION = -1
# Age at which an announcement without a known outcome has to be settled.
_MAX_UNSETTLED_S = 5


@dataclass(frozen=True, slots=True)
class Announcement:
    """A change that a writer is about to write to the store.

    :param revision: revision that the change creates.
    :param base: version of the head row on which the write is conditional,
        read before the announcement.
    :param keys: names of keys whose rows the change edits or removes.
    :param servers: names of backend servers that it drains or removes.
    :param moves_witnesses: whether it changes the list of witnesses.
    """

    change_id: str
    revision: int
    base: int
    keys: tuple[str, ...] = ()
    servers: tuple[str, ...] = ()
    moves_witnesses: bool = False


@dataclass(frozen=True, slots=True)
class Testimony:
    """Statement of a witness about all changes that it knows of.

    It says that, ``age`` seconds ago, the witness knew of no change after
    ``revision`` except those in ``pending``.

    :param address: address of the witness, which identifies it.
    :param revision: newest revision that it knows to be accepted.
    :param version: version of the head row that contained the revision.
    :param pending: announced changes whose outcome it does not know.
    :param age: seconds since a moment at which the statement was true.
    """

    address: str
    revision: int
    version: int
    pending: tuple[Announcement, ...] = ()
    age: float = 0


@dataclass(unsafe_hash=True)
class StaleAnnouncementError(CrocusError):
    """An announcement of a write that can no longer take effect.

    :param version: version of the head row that the witness knows; it is
        newer than the one on which the write is conditional.
    """

    code = 'announcement-stale'

    version: int


class WitnessState:
    """The head row that one witness last read, and its pending announcements.

    A write is conditional on the version of the head row, so reading a newer
    version settles it: the write is either included in that version or will
    never take effect. A witness that restarts has lost the announcements that
    it acknowledged before; all of them were conditional on the first version
    that it reads now or on an older one. It gives no testimony until it has
    read a newer version, which it creates by rewriting the head row
    unchanged. None of this depends on a clock.

    >>> witness = WitnessState()
    >>> witness.observe_head(4, version=6)
    >>> witness.create_testimony() is None
    True
    >>> witness.observe_head(4, version=7)
    >>> witness.record(Announcement('c5', 5, base=7), now=0)
    Ok(None)
    >>> [one.change_id for one in witness.create_testimony().pending]
    ['c5']
    """

    def __init__(self) -> None:
        """Start without a head row; no testimony is given yet."""
        self._first_version = _UNREAD_VERSION
        self._version = _UNREAD_VERSION
        self._revision = 0
        self._pending: dict[tuple[str, int], Announcement] = {}
        self._recorded_at: dict[tuple[str, int], float] = {}

    @property
    def is_ready(self) -> bool:
        """Tell whether all writes from before the start are settled."""
        return self._version > self._first_version

    def record(
        self,
        announcement: Announcement,
        now: float,
    ) -> Result[None, StaleAnnouncementError]:
        """Store an announcement until a newer head row settles it.

        :param now: monotonic time in seconds.
        """
        if announcement.base < self._version:
            return Err(StaleAnnouncementError(self._version))
        identity = (announcement.change_id, announcement.base)
        self._pending[identity] = announcement
        self._recorded_at.setdefault(identity, now)
        return Ok(None)

    def observe_head(self, revision: int, version: int) -> None:
        """Process a head row that was read from the store.

        :param revision: newest revision, as stored in the head row.
        :param version: version of the head row.
        """
        if self._first_version == _UNREAD_VERSION:
            self._first_version = version
        if version <= self._version:
            return
        self._version = version
        self._revision = revision
        settled = [
            identity for identity in self._pending if identity[1] < version
        ]
        for identity in settled:
            self._pending.pop(identity)
            self._recorded_at.pop(identity)

    def create_testimony(self) -> Testimony | None:
        """Return the testimony of this witness, None until it is ready.

        Its address is empty: whoever asks the witness fills it in.
        """
        if not self.is_ready:
            return None
        pending = tuple(
            self._pending[identity] for identity in sorted(self._pending)
        )
        return Testimony('', self._revision, self._version, pending)

    def is_fence_due(self, now: float) -> bool:
        """Tell whether the head row has to be rewritten to settle writes.

        :param now: monotonic time in seconds.
        """
        if not self.is_ready:
            return True
        oldest = min(self._recorded_at.values(), default=now)
        return now - oldest >= _MAX_UNSETTLED_S
