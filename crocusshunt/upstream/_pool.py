"""Pool of idle connections to backend servers."""

from collections import deque
from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.upstream._buffering import BufferLimit
from crocusshunt.upstream._connection import Connection
from crocusshunt.upstream._opening import open_connection
from crocusshunt.upstream._messages import EchoPolicy

# On a stale connection, one that the server has dropped without closing it, the
# server resets the request as soon as it arrives; a later failure has another
# cause. In seconds.
_STALE_RESET_S = 0.25
# The idle time allowed after a stale connection was seen, as a fraction of that
# connection's idle time.
_REUSE_IDLE_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """How connections are opened and kept for reuse.

    :param connect_timeout_s: longest wait for a new connection, in seconds.
    :param max_idle_s: longest time a connection is kept unused, in seconds.
    :param limit_reuse_for_s: how long, after a stale connection was seen,
        requests that must not be sent twice use only connections idle for a
        shorter time, in seconds.
    :param max_idle_connections: idle connections kept for one server.
    """

    connect_timeout_s: float = 0.7
    max_idle_s: float = 8
    limit_reuse_for_s: float = 30
    max_idle_connections: int = 4


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    connection: Connection
    idle_since: float

    def is_usable(self, now: float, max_idle_s: float) -> bool:
        limit = min(max_idle_s, self.connection.idle_limit_s)
        return self.connection.is_reusable and now - self.idle_since < limit


class ConnectionPool:
    """Opens connections and keeps those that may be reused.

    Servers are identified by name and address together, so that a connection
    to a removed server is never used for another server at its address.
    """

    def __init__(
        self,
        settings: PoolSettings,
        echo_policy: EchoPolicy,
        clock: Clock,
    ) -> None:
        """Start without connections."""
        self._settings = settings
        self._echo_policy = echo_policy
        self._clock = clock
        self.buffer_limit = BufferLimit()
        self._idle: dict[tuple[str, str], deque[_IdleConnection]] = {}
        self._reuse_idle_limit_s: float = 0
        self._reuse_limited_until: float = 0
        self.opened = 0

    def take(
        self,
        name: str,
        address: str,
        request_id: bytes,
        *,
        is_repeatable: bool,
    ) -> Connection | None:
        """Return the most recently used idle connection, None without one.

        A server may drop an idle connection without closing it and then reset
        what is sent on it. Once this was seen, a request that must not be
        sent twice uses only connections that were idle for less than half as
        long as the stale one.

        :param name: name of the server.
        :param address: ``ip:port`` of the server.
        :param request_id: a request that was refused on a connection does not
            use it again.
        :param is_repeatable: whether the request may be sent again.
        """
        idle_limit_s = self._settings.max_idle_s
        idle = self._idle.get((name, address))
        now = self._clock.monotonic()
        while idle and not idle[-1].is_usable(now, idle_limit_s):
            idle.pop().connection.close()
        if not is_repeatable and now < self._reuse_limited_until:
            idle_limit_s = self._reuse_idle_limit_s
        if not idle or not idle[-1].is_usable(now, idle_limit_s):
            return None
        if idle[-1].connection.has_refused(request_id):
            return None
        newest = idle.pop()
        newest.connection.idle_s = now - newest.idle_since
        return newest.connection

    def note_broken(self, connection: Connection, after_s: float) -> bool:
        """Record a failed exchange; return whether the connection was stale.

        :param after_s: time from sending the request to the failure, in
            seconds.
        """
        is_stale = connection.idle_s > 0 and after_s < _STALE_RESET_S
        if not is_stale:
            return False
        now = self._clock.monotonic()
        idle_s = connection.idle_s * _REUSE_IDLE_FRACTION
        if now < self._reuse_limited_until:
            idle_s = min(idle_s, self._reuse_idle_limit_s)
        self._reuse_idle_limit_s = idle_s
        self._reuse_limited_until = now + self._settings.limit_reuse_for_s
        return True

    async def open(self, address: str) -> Connection:
        """Open a new connection.

        :param address: ``ip:port`` of the server.
        :raises NotConnectedError: it could not be opened in time.
        """
        self.opened += 1
        return await open_connection(
            address,
            self._echo_policy,
            self._settings.connect_timeout_s,
            self.buffer_limit,
        )

    def give_back(
        self, name: str, address: str, connection: Connection
    ) -> None:
        """Keep a connection for later requests, or close it."""
        idle = self._idle.setdefault((name, address), deque())
        if (
            connection.is_reusable
            and len(idle) < self._settings.max_idle_connections
        ):
            idle.append(_IdleConnection(connection, self._clock.monotonic()))
        else:
            connection.close()

    def forget(self, name: str, address: str) -> None:
        """Close the idle connections of a server."""
        for idle in self._idle.pop((name, address), ()):
            idle.connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for name, address in tuple(self._idle):
            self.forget(name, address)

    def expire(self) -> None:
        """Close idle connections that are too old to be used."""
        now = self._clock.monotonic()
        for server, idle in tuple(self._idle.items()):
            while idle and not idle[0].is_usable(
                now, self._settings.max_idle_s
            ):
                idle.popleft().connection.close()
            if not idle:
                self._idle.pop(server)
