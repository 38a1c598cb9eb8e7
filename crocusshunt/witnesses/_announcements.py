"""What one witness knows, and what it testifies."""

from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.core import CrocusError

_UNREAD = -1
_UNRESOLVED_S = 5


@dataclass(frozen=True, slots=True)
class Announcement:
    """A change that a writer is about to send to the store.

    :param base: version of the head row on which the write is conditional,
        read before the announcement.
    :param keys: names of keys whose rows it changes or removes.
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
    """A witness's statement: no change beyond these, some seconds ago.

    :param address: where the witness was asked, which identifies it.
    :param revision: newest revision it knows to be accepted.
    :param version: version of the head row that held the revision.
    :param pending: announced changes whose outcome it does not know.
    :param age: seconds since a moment at which it held.
    """

    address: str
    revision: int
    version: int
    pending: tuple[Announcement, ...] = ()
    age: float = 0


@dataclass(unsafe_hash=True)
class StaleAnnouncementError(CrocusError):
    """An announcement of a write that can no longer take effect.

    :param version: version of the head row known to the witness.
    """

    code = 'announcement-stale'

    version: int


class AnnouncementLog:
    """State of one witness: the head it has read and what is announced.

    A write is conditional on the version of the head row, so a newer
    version settles it: either it is behind that version or it never takes
    effect. A witness that starts has forgotten what it acknowledged before;
    all of that was conditional on the first version it reads now or an
    older one. It abstains until it has read a newer version, which it gets
    by rewriting the head row unchanged. No clock is involved.

    >>> log = AnnouncementLog()
    >>> log.observe(4, version=6)
    >>> log.testify() is None
    True
    >>> log.observe(4, version=7)
    >>> log.record(Announcement('c5', 5, base=7), now=0)
    Ok(None)
    >>> [pending.change_id for pending in log.testify().pending]
    ['c5']
    """

    def __init__(self) -> None:
        """Start knowing nothing, and abstain."""
        self._first_version = _UNREAD
        self._version = _UNREAD
        self._revision = 0
        self._pending: dict[tuple[str, int], Announcement] = {}
        self._recorded_at: dict[tuple[str, int], float] = {}

    @property
    def is_ready(self) -> bool:
        """Tell whether what was forgotten at the start is settled."""
        return self._version > self._first_version

    def record(
        self,
        announcement: Announcement,
        now: float,
    ) -> Result[None, StaleAnnouncementError]:
        """Keep an announcement until a newer head settles it.

        :param now: monotonic time in seconds.
        """
        if announcement.base < self._version:
            return Err(StaleAnnouncementError(self._version))
        identity = (announcement.change_id, announcement.base)
        self._pending[identity] = announcement
        self._recorded_at.setdefault(identity, now)
        return Ok(None)

    def observe(self, revision: int, version: int) -> None:
        """Take note of a head that was read from the store.

        :param version: version of the head row.
        """
        if self._first_version == _UNREAD:
            self._first_version = version
        if version <= self._version:
            return
        self._version = version
        self._revision = revision
        settled = [key for key in self._pending if key[1] < version]
        for identity in settled:
            self._pending.pop(identity)
            self._recorded_at.pop(identity)

    def testify(self) -> Testimony | None:
        """Return what this witness knows, None while it abstains."""
        if not self.is_ready:
            return None
        pending = tuple(self._pending[key] for key in sorted(self._pending))
        return Testimony('', self._revision, self._version, pending)

    def needs_fence(self, now: float) -> bool:
        """Tell whether the head row should be rewritten to settle writes.

        :param now: monotonic time in seconds.
        """
        if not self.is_ready:
            return True
        oldest = min(self._recorded_at.values(), default=now)
        return now - oldest >= _UNRESOLVED_S
