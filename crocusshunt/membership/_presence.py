"""Whether a host's gateway takes requests."""

from dataclasses import dataclass

HEARTBEAT_PERIOD_S = 1.0
_LAPSE_S = 3.0


@dataclass(slots=True)
class GatewayPresence:
    """What the heartbeats of this host's gateway say.

    Before the first heartbeat nothing is known, and the platform's list is
    left to speak for the host.

    >>> presence = GatewayPresence()
    >>> presence.note(now=10, is_leaving=False)
    >>> presence.is_gone(now=11), presence.is_gone(now=14)
    (False, True)
    """

    heard_at: float | None = None
    is_leaving: bool = False

    def note(self, now: float, *, is_leaving: bool) -> None:
        """Keep a heartbeat.

        :param now: monotonic time in seconds.
        """
        self.heard_at = now
        self.is_leaving = is_leaving

    def is_gone(self, now: float) -> bool:
        """Tell whether the gateway leaves or has fallen silent."""
        if self.heard_at is None:
            return False
        return self.is_leaving or now - self.heard_at > _LAPSE_S
