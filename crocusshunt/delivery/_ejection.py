"""Outlier detection: failing servers are ejected, then ramped up again."""

from collections.abc import Iterable
from dataclasses import dataclass

from crocusshunt.routing import Server


@dataclass(frozen=True, slots=True)
class EjectionSettings:
    """When servers are ejected, and how they return (slow start).

    :param failures: consecutive failures that eject a server.
    :param base_s: duration of the first ejection, in seconds; it doubles with
        each consecutive ejection.
    :param longest_s: greatest duration of an ejection, in seconds.
    :param greatest_share: fraction of a pool that may be ejected at once.
    :param ramp_s: time in which a returning server's share of its normal
        work grows to 1, in seconds.
    :param ramp_start: share of its normal work at its return.
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
    """Tracks consecutive failures of each server and ejects failing ones.

    The record of a server is dropped when it answers a request after its
    slow start is over.
    """

    def __init__(self, settings: EjectionSettings) -> None:
        """Start without records; every server may get all its normal work."""
        self._settings = settings
        self._records: dict[str, _Record] = {}

    def note_success(self, server: Server, now: float) -> None:
        """Record a response; it ends a run of failures.

        :param now: monotonic time, in seconds.
        """
        record = self._records.get(server.name)
        if record is None:
            return
        record.failures = 0
        if self.compute_share(server, now) >= 1:
            self._records.pop(server.name)

    def note_failure(self, server: Server, now: float) -> None:
        """Record a failure; eject the server after several in a row.

        :param now: monotonic time, in seconds.
        """
        record = self._records.setdefault(server.name, _Record())
        record.failures += 1
        if record.failures < self._settings.failures:
            return
        duration_s = self._settings.base_s * 2**record.ejections
        record.ejections += 1
        # After its return a single failure ejects the server again.
        record.failures = self._settings.failures - 1
        record.ejected_until = now + min(duration_s, self._settings.longest_s)
        record.returned_at = record.ejected_until

    def note_return(self, server: Server, now: float) -> None:
        """Begin the slow start of a server that has returned."""
        record = self._records.setdefault(server.name, _Record())
        record.returned_at = now

    def select_available(
        self,
        servers: Iterable[Server],
        now: float,
    ) -> tuple[Server, ...]:
        """Return the servers that may get requests.

        At most ``greatest_share`` of the pool, rounded down, is left out:
        the servers whose ejection ends last. So with the default of one half
        a pool of one server always keeps it.

        :param servers: all servers of the pool.
        """
        all_servers = tuple(servers)
        ejected = [
            server for server in all_servers if self._is_ejected(server, now)
        ]
        allowed = int(len(all_servers) * self._settings.greatest_share)
        ejected.sort(key=self._rank, reverse=True)
        left_out = {server.name for server in ejected[:allowed]}
        return tuple(
            server for server in all_servers if server.name not in left_out
        )

    def compute_share(self, server: Server, now: float) -> float:
        """Return the fraction of its normal work that a server may get.

        It grows linearly from ``ramp_start`` to 1 in ``ramp_s`` seconds
        after the server's return.
        """
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
