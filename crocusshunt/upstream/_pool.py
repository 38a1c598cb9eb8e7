"""Kept connections, by backend server."""

from collections import deque
from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.upstream._connection import Connection, open_connection
from crocusshunt.upstream._messages import EchoPolicy

# A forgotten connection is reset as soon as its server gets the request.
_RESET_WITHIN_S = 0.25
# Of the rest after which a connection was forgotten.
_CAREFUL_REST = 0.5


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """How connections are opened and kept.

    :param connect_timeout_s: longest wait for a new connection, in seconds.
    :param max_idle_s: longest time a connection is kept unused, in seconds.
    :param careful_for_s: how long a forgotten connection makes this host
        careful with requests that must not be sent twice, in seconds.
    :param max_kept: idle connections kept for one server.
    """

    connect_timeout_s: float = 0.7
    max_idle_s: float = 8
    careful_for_s: float = 30
    max_kept: int = 4


@dataclass(frozen=True, slots=True)
class _Kept:
    connection: Connection
    since: float

    def is_fresh(self, now: float, max_idle_s: float) -> bool:
        limit = min(max_idle_s, self.connection.idle_limit_s)
        return self.connection.is_reusable and now - self.since < limit


class ConnectionPool:
    """Opens connections and keeps those that may be used again.

    A server is known by name and address together, so that a connection to
    one that has gone never carries a request for its successor.
    """

    def __init__(
        self,
        settings: PoolSettings,
        echo: EchoPolicy,
        clock: Clock,
    ) -> None:
        """Start without connections."""
        self._settings = settings
        self._echo = echo
        self._clock = clock
        self._kept: dict[tuple[str, str], deque[_Kept]] = {}
        self._careful_rest_s: float = 0
        self._careful_until: float = 0
        self.opened = 0

    def take(
        self,
        name: str,
        address: str,
        *,
        is_repeatable: bool,
    ) -> Connection | None:
        """Return the connection used last, None without a fresh one.

        A server may forget an idle connection and reset what is sent on it.
        Once that was seen, a request that must not be sent twice uses only
        connections that rested clearly shorter.

        :param is_repeatable: whether the request may be sent again.
        """
        longest = self._settings.max_idle_s
        kept = self._kept.get((name, address))
        now = self._clock.monotonic()
        while kept and not kept[-1].is_fresh(now, longest):
            kept.pop().connection.close()
        if not is_repeatable and now < self._careful_until:
            longest = self._careful_rest_s
        if not kept or not kept[-1].is_fresh(now, longest):
            return None
        newest = kept.pop()
        newest.connection.idle_s = now - newest.since
        return newest.connection

    def note_broken(self, used: Connection, after_s: float) -> bool:
        """Take that an exchange broke; return whether rest was the cause.

        :param after_s: time from its sending, in seconds.
        """
        is_forgotten = used.idle_s > 0 and after_s < _RESET_WITHIN_S
        if not is_forgotten:
            return False
        now = self._clock.monotonic()
        rest_s = used.idle_s * _CAREFUL_REST
        if now < self._careful_until:
            rest_s = min(rest_s, self._careful_rest_s)
        self._careful_rest_s = rest_s
        self._careful_until = now + self._settings.careful_for_s
        return True

    async def open(self, address: str) -> Connection:
        """Open a new connection.

        :raises NotConnectedError: it could not be opened in time.
        """
        self.opened += 1
        return await open_connection(
            address,
            self._echo,
            self._settings.connect_timeout_s,
        )

    def give_back(self, name: str, address: str, used: Connection) -> None:
        """Keep a connection for the next request, or close it."""
        kept = self._kept.setdefault((name, address), deque())
        if used.is_reusable and len(kept) < self._settings.max_kept:
            kept.append(_Kept(used, self._clock.monotonic()))
        else:
            used.close()

    def forget(self, name: str, address: str) -> None:
        """Close the idle connections of a server."""
        for kept in self._kept.pop((name, address), ()):
            kept.connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for name, address in tuple(self._kept):
            self.forget(name, address)

    def expire(self) -> None:
        """Close idle connections that are too old to be used."""
        now = self._clock.monotonic()
        for server, kept in tuple(self._kept.items()):
            while kept and not kept[0].is_fresh(now, self._settings.max_idle_s):
                kept.popleft().connection.close()
            if not kept:
                self._kept.pop(server)
