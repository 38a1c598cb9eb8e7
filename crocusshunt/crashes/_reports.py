"""What hosts know and tell of crashes under one request."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from crocusshunt.crashes._isolation import Origin

# Older crashes are not reported to other hosts, which know them by then.
_MAX_REPORT_AGE_S = 10
# Bound on one message, which is sent as a datagram.
_MAX_CRASH_COUNT = 8
_DECIMAL_COUNT = 2
NEVER = float('-inf')


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """What a host reports of a request under which servers crashed.

    :param fingerprint: of the request.
    :param ages_s: seconds since each crash, by the server and its start.
    :param served_age_s: seconds since a server answered the request, None if
        none did.
    :param origin: of the request, None from a host that does not tell it.
    """

    fingerprint: str
    ages_s: dict[str, float]
    served_age_s: float | None = None
    origin: Origin | None = None


@dataclass(slots=True)
class History:
    """Crashes under one request.

    :param origin: of the request, None if unknown.
    :param crashes: time of each crash, by the server and its start.
    :param own: those of them that this host saw.
    :param served_at: when a server last answered the request.
    :param trials: how often this host sent it although it was quarantined.
    :param tried_at: when it last did so.
    """

    origin: Origin | None = None
    crashes: dict[str, float] = field(default_factory=dict)
    own: set[str] = field(default_factory=set)
    served_at: float = NEVER
    is_served_here: bool = False
    trials: int = 0
    tried_at: float = NEVER

    @property
    def changed_at(self) -> float:
        """Return the time of the newest observation."""
        return max(self.served_at, *self.crashes.values(), NEVER)

    def note_served(self, at: float) -> None:
        """Drop the crashes before an answer: others caused them."""
        self.served_at = max(self.served_at, at)
        self.crashes = {
            server: crashed_at
            for server, crashed_at in self.crashes.items()
            if crashed_at > self.served_at
        }
        self.own &= self.crashes.keys()


def list_recent(
    histories: Mapping[str, History], now: float
) -> list[tuple[str, History]]:
    """Return recently changed histories, those of many crashes first."""
    recent = [
        (fingerprint, history)
        for fingerprint, history in histories.items()
        if now - history.changed_at <= _MAX_REPORT_AGE_S
    ]
    return sorted(recent, key=_rank_by_crashes, reverse=True)


def _rank_by_crashes(item: tuple[str, History]) -> tuple[int, float]:
    history = item[1]
    return len(history.crashes), history.changed_at


def describe_history(
    fingerprint: str, history: History, now: float
) -> CrashReport:
    newest = sorted(
        history.crashes.items(), key=lambda one: one[1], reverse=True
    )
    ages_s = {
        server: round(now - at, _DECIMAL_COUNT)
        for server, at in newest[:_MAX_CRASH_COUNT]
    }
    served_age_s = None
    if history.served_at != NEVER:
        served_age_s = round(now - history.served_at, _DECIMAL_COUNT)
    return CrashReport(fingerprint, ages_s, served_age_s, history.origin)
