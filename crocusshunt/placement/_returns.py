"""Times at which refused requests may come back."""

from dataclasses import dataclass, field

# Share of a server's released slots that is offered to requests that come
# back; the others are for those that arrive meanwhile.
_RETURN_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class SlotRate:
    """How soon and how often a server has a slot for a returning request.

    :param first_s: expected time until it has one, in seconds.
    :param interval_s: mean time between the releases of its slots, in
        seconds.
    :param hosts: number of hosts that send their callers back to it.
    """

    first_s: float
    interval_s: float
    hosts: int = 1


@dataclass(slots=True)
class ReturnSchedule:
    """Gives each refused request a time of its own to come back.

    Load pattern: many requests for one server are refused within a moment.
    Told the same time, they come back together and most are refused again;
    told a time much later than the next slot, they miss their objective while
    the slot is idle.

    >>> schedule = ReturnSchedule()
    >>> rate = SlotRate(first_s=0.02, interval_s=0.01, hosts=2)
    >>> [round(schedule.reserve('s1', rate, now=0), 2) for _ in range(3)]
    [0.02, 0.06, 0.1]
    >>> round(schedule.reserve('s1', rate, now=1), 2)
    0.02
    """

    _next_at: dict[str, float] = field(default_factory=dict)

    def reserve(self, server: str, rate: SlotRate, now: float) -> float:
        """Return in how many seconds a refused request may come back."""
        return_at = max(now + rate.first_s, self._next_at.get(server, 0))
        spacing_s = rate.interval_s * rate.hosts / _RETURN_SHARE
        self._next_at[server] = return_at + spacing_s
        return return_at - now

    def forget(self, server: str) -> None:
        """Drop the reservations at a server that was removed."""
        self._next_at.pop(server, None)
