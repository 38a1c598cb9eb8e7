"""Requests that a host gave up while a backend server had them."""

from dataclasses import dataclass, field

from crocusshunt.crashes import Origin

# A server may run a request for so long after this host gave it up, and the
# crash be seen so much before that by another host.
_RUNS_ON_S = 0.5


@dataclass(frozen=True, slots=True)
class _GivenUp:
    origin: Origin
    at: float


@dataclass(slots=True)
class GivenUpRequests:
    """Requests that timed out or whose callers left, by server and start.

    >>> given_up = GivenUpRequests()
    >>> given_up.note('s1@7', 'f1', Origin('pool', 'read', 'court'), at=1)
    >>> sorted(given_up.find('s1@7', 1.2)), sorted(given_up.find('s1@7', 2))
    (['f1'], [])
    """

    _servers: dict[str, dict[str, _GivenUp]] = field(default_factory=dict)

    def note(
        self, server: str, fingerprint: str, origin: Origin, at: float
    ) -> None:
        """Record that a request was given up.

        :param server: the server and its start.
        :param at: monotonic seconds.
        """
        requests = self._servers.setdefault(server, {})
        requests[fingerprint] = _GivenUp(origin, at)

    def find(self, server: str, crashed_at: float) -> dict[str, Origin]:
        """Return the requests that a server may have run when it crashed.

        :param server: the server and its start.
        :param crashed_at: monotonic seconds.
        """
        return {
            fingerprint: one.origin
            for fingerprint, one in self._servers.get(server, {}).items()
            if abs(crashed_at - one.at) < _RUNS_ON_S
        }

    def expire(self, now: float) -> None:
        """Drop requests that were given up long ago."""
        kept = {}
        for server, requests in self._servers.items():
            recent = {
                fingerprint: one
                for fingerprint, one in requests.items()
                if now - one.at < 2 * _RUNS_ON_S
            }
            if recent:
                kept[server] = recent
        self._servers = kept
