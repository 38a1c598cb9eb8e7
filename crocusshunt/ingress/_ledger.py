"""Bytes that the connections of a host make it keep."""

from collections.abc import Callable
from enum import Enum

from crocusshunt.ingress._limits import IngressLimits


class Holding(Enum):
    """What kept bytes are.

    :cvar received: bytes that aren't part of a whole body: heads, waiting
        requests, and pieces that nobody has taken yet.
    :cvar body: bodies of requests under way.
    :cvar answer: answers that the caller has not read.
    """

    received = 'received'
    body = 'body'
    answer = 'answer'


class EndCause(Enum):
    """Why a host ends a connection by itself."""

    connection_bytes = 'connection-bytes'
    host_bytes = 'host-bytes'
    connections = 'connections'
    head_timeout = 'head-timeout'
    idle = 'idle'
    unread = 'unread'


End = Callable[[EndCause], None]


class Account:
    """The bytes of one connection.

    One that is closed or ended counts nothing any more.
    """

    def __init__(self, ledger: 'HostLedger', end: End) -> None:
        """Open an account without bytes.

        :param end: ends the connection; called once at most.
        """
        self._ledger = ledger
        self._end = end
        self._bytes = dict.fromkeys(Holding, 0)
        self.is_open = True

    @property
    def total(self) -> int:
        """Return how many bytes are kept."""
        return sum(self._bytes.values())

    @property
    def body_bytes(self) -> int:
        """Return how many bytes of bodies are kept."""
        return self._bytes[Holding.body]

    def count(self, kind: Holding) -> int:
        """Return how many bytes of a kind are kept."""
        return self._bytes[kind]

    def set(self, kind: Holding, size: int) -> None:
        """Note how many bytes of a kind are kept now."""
        self.hold(kind, size - self._bytes[kind])

    def hold(self, kind: Holding, change: int) -> None:
        """Note that more bytes are kept, or less.

        :param change: bytes; negative if some were given back.
        """
        if not self.is_open:
            return
        change = max(change, -self._bytes[kind])
        self._bytes[kind] += change
        self._ledger.change(self, kind, change)

    def try_hold_body(self, size: int) -> bool:
        """Keep more bytes of a body if there is room for them.

        A connection that was ended has no room.
        """
        if not self.is_open or not self._ledger.has_room(self, size):
            return False
        self.hold(Holding.body, size)
        return self.is_open

    def close(self) -> None:
        """Give everything back."""
        for kind in Holding:
            self.set(kind, 0)
        self.is_open = False
        self._ledger.forget(self)

    def end(self, cause: EndCause) -> None:
        """Give everything back and end the connection."""
        if self.is_open:
            self.close()
            self._end(cause)


class HostLedger:
    """The bytes that all connections of a host make it keep.

    Bodies are refused when there is no room for them, so they end nothing.
    Where all that is kept gets too much, the connections that keep the most
    beside bodies are ended.

    >>> ledger = HostLedger(IngressLimits(max_host_bytes=100))
    >>> small, large = (ledger.open(print) for _ in range(2))
    >>> small.set(Holding.received, 30)
    >>> large.set(Holding.answer, 60)
    >>> small.set(Holding.received, 41)
    EndCause.host_bytes
    >>> ledger.total, small.is_open, large.is_open
    (41, True, False)
    """

    def __init__(self, limits: IngressLimits) -> None:
        """Keep to limits."""
        self.limits = limits
        self.total = 0
        # Bytes of answers under way, which are on no account yet.
        self.count_under_way: Callable[[], int] = _count_nothing
        self._body_total = 0
        self._accounts: set[Account] = set()

    @property
    def body_total(self) -> int:
        """Return the bytes of all bodies."""
        return self._body_total

    def open(self, end: End) -> Account:
        """Return the account of a new connection.

        :param end: called with the cause when the connection must end.
        """
        account = Account(self, end)
        self._accounts.add(account)
        return account

    def has_room(self, account: Account, size: int) -> bool:
        """Tell whether a body may grow by so many bytes.

        A long body that is alone may be longer than all of many together.
        """
        limits = self.limits
        allowed = limits.max_body_bytes
        if account.body_bytes + size <= limits.small_body_bytes:
            allowed += limits.small_reserve_bytes
            return self._body_total + size <= allowed
        others = self._body_total - account.body_bytes
        if others <= limits.small_reserve_bytes:
            allowed = max(allowed, limits.single_body_bytes + others)
        kept = self.total + self.count_under_way() + size
        is_within_host = kept <= limits.max_host_bytes
        return is_within_host and self._body_total + size <= allowed

    def change(self, account: Account, kind: Holding, change: int) -> None:
        """Count a change of an account, and end what gets too much."""
        self.total += change
        if kind is Holding.body:
            self._body_total += change
        if change <= 0:
            return
        if _count_endable(account) > self.limits.max_connection_bytes:
            account.end(EndCause.connection_bytes)
        while self.total > self.limits.max_host_bytes:
            largest = max(self._accounts, key=_count_endable)
            largest.end(EndCause.host_bytes)

    def forget(self, account: Account) -> None:
        """Drop an account that keeps nothing."""
        self._accounts.discard(account)


def _count_nothing() -> int:
    return 0


def _count_endable(account: Account) -> int:
    """Return what a connection keeps that isn't refused when it's too much."""
    return account.total - account.body_bytes
