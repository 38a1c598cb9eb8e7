"""Availability of a host's gateway, judged by its heartbeats."""

from dataclasses import dataclass

HEARTBEAT_PERIOD_S = 1.0
_SILENCE_LIMIT_S = 3.0


@dataclass(slots=True)
class GatewayPresence:
    """Tells from its heartbeats whether this host's gateway is available.

    Before the first heartbeat the gateway counts as available, so that only
    the platform's list decides on the host.

    :param last_heartbeat_at: monotonic time of the last heartbeat, in seconds.
    :param is_leaving: whether that heartbeat announced a planned stop.

    >>> presence = GatewayPresence()
    >>> presence.record_heartbeat(now=10, is_leaving=False)
    >>> presence.is_unavailable(now=11), presence.is_unavailable(now=14)
    (False, True)
    """

    last_heartbeat_at: float | None = None
    is_leaving: bool = False

    def record_heartbeat(self, now: float, *, is_leaving: bool) -> None:
        """Record a heartbeat.

        :param now: monotonic time in seconds.
        """
        self.last_heartbeat_at = now
        self.is_leaving = is_leaving

    def is_unavailable(self, now: float) -> bool:
        """Tell whether the gateway is leaving or sends no heartbeats.

        :param now: monotonic time in seconds.
        """
        if self.last_heartbeat_at is None:
            return False
        return (
            self.is_leaving or now - self.last_heartbeat_at > _SILENCE_LIMIT_S
        )
