"""Servers that fail get no work for a while, then a little."""

from collections.abc import Iterable
from dataclasses import dataclass

from crocusshunt.routing import Server


@dataclass(frozen=True, slots=True)
class EjectionSettings:
    """When servers are ejected and how they come back.

    :param failures: failures in a row that eject a server.
    :param base_s: length of the first ejection, in seconds; it doubles with
        each one in a row.
    :param longest_s: greatest length of an ejection, in seconds.
    :param greatest_share: part of a pool that may be ejected at once.
    :param ramp_s: seconds over which a returning server's share grows.
    :param ramp_start: share with which it begins.
    """

    failures: int = 2
    base_s: float = 2
    longest_s: float = 30
    greatest_share: float = 0.5
    ramp_s: float = 10
    ramp_start: float = 0.1


@dataclass(slots=True)
class _Record:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    returned_at: float | None = None


class OutlierDetector:
    """Follows failures and answers of each server.

    A server that ran a request well is forgotten once its ramp is over.
    """

    def __init__(self, settings: EjectionSettings) -> None:
        """Start without records; every server has its full share."""
        self._settings = settings
        self._records: dict[str, _Record] = {}

    def note_success(self, server: Server, now: float) -> None:
        """Count an answer."""
        record = self._records.get(server.name)
        if record is None:
            return
        record.failures = 0
        if self.compute_share(server, now) >= 1:
            self._records.pop(server.name)

    def note_failure(self, server: Server, now: float) -> None:
        """Count a failure, and eject after several in a row."""
        record = self._records.setdefault(server.name, _Record())
        record.failures += 1
        if record.failures < self._settings.failures:
            return
        length = self._settings.base_s * 2**record.ejections
        record.ejections += 1
        record.failures = self._settings.failures - 1
        record.ejected_until = now + min(length, self._settings.longest_s)
        record.returned_at = record.ejected_until

    def note_return(self, server: Server, now: float) -> None:
        """Begin the slow start of a server that came back."""
        record = self._records.setdefault(server.name, _Record())
        record.returned_at = now

    def select_available(
        self,
        servers: Iterable[Server],
        now: float,
    ) -> tuple[Server, ...]:
        """Return the servers that may get work.

        At most a part of the pool is left out: those whose ejection ends
        last. A pool of one server always keeps it.
        """
        pool = tuple(servers)
        ejected = [one for one in pool if self._is_ejected(one, now)]
        allowed = int(len(pool) * self._settings.greatest_share)
        ejected.sort(key=self._rank, reverse=True)
        left_out = {server.name for server in ejected[:allowed]}
        return tuple(one for one in pool if one.name not in left_out)

    def compute_share(self, server: Server, now: float) -> float:
        """Return a server's share of its normal work, up to 1."""
        record = self._records.get(server.name)
        if record is None or record.returned_at is None:
            return 1
        elapsed = max(0, now - record.returned_at) / self._settings.ramp_s
        start = self._settings.ramp_start
        return min(1, start + (1 - start) * elapsed)

    def _is_ejected(self, server: Server, now: float) -> bool:
        record = self._records.get(server.name)
        return record is not None and now < record.ejected_until

    def _rank(self, server: Server) -> tuple[float, str]:
        return self._records[server.name].ejected_until, server.name
