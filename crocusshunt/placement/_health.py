"""Passive health checks: failing servers found from request outcomes."""

from dataclasses import dataclass, field
from enum import Enum


class ServerFailure(str, Enum):
    """Ways in which a server failed a request.

    ``unreachable``: no connection; ``broken``: no valid answer; ``error``: an
    answer with a server error status; ``shed``: refused without being run.
    """

    unreachable = 'unreachable'
    broken = 'broken'
    error = 'error'
    shed = 'shed'


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """When a server is ejected, that is, gets no requests, and for how long.

    :param initial_ejection_s: first ejection time of an unreachable server,
        doubled with each further failure, in seconds.
    :param max_ejection_s: longest ejection time of an unreachable server, in
        seconds.
    :param failure_threshold: share of failures among recent answers at which
        a server is ejected.
    :param failure_ejection_s: ejection time of a server that fails part of
        its requests, in seconds.
    :param newest_weight: weight of the newest answer in the share of
        failures, an exponential moving average.
    :param min_answers: answers needed before the share of failures is used.
    """

    initial_ejection_s: float = 0.5
    max_ejection_s: float = 4
    failure_threshold: float = 0.5
    failure_ejection_s: float = 3
    newest_weight: float = 0.15
    min_answers: int = 6


@dataclass(slots=True)
class ServerHealth:
    """State of one server.

    :param failure_rate: moving average of failures, 0 to 1.
    :param answers: answers since the last ejection for failures.
    :param unreachable: consecutive failures to reach the server.
    :param ejected_until: end of its ejection, monotonic seconds.
    :param is_returning: whether it was unreachable and has not answered
        since.
    """

    failure_rate: float = 0
    answers: int = 0
    unreachable: int = 0
    ejected_until: float = 0
    is_returning: bool = False


@dataclass(slots=True)
class HealthTracker:
    """Health of all servers, by name.

    >>> tracker = HealthTracker(HealthSettings())
    >>> tracker.note_failure('s1', ServerFailure.unreachable, now=0)
    True
    >>> tracker.is_ejected('s1', now=0.4), tracker.is_ejected('s1', now=0.6)
    (True, False)
    """

    settings: HealthSettings
    _servers: dict[str, ServerHealth] = field(default_factory=dict)

    def find(self, name: str) -> ServerHealth:
        """Return the state of a server, which is added if unknown."""
        return self._servers.setdefault(name, ServerHealth())

    def forget(self, name: str) -> None:
        """Drop the state of a server that was removed."""
        self._servers.pop(name, None)

    def is_ejected(self, name: str, now: float) -> bool:
        """Tell whether a server is ejected."""
        known = self._servers.get(name)
        return known is not None and now < known.ejected_until

    def is_returning(self, name: str) -> bool:
        """Tell whether a server was unreachable and has not answered since."""
        known = self._servers.get(name)
        return known is not None and known.is_returning

    def note_success(self, name: str) -> bool:
        """Record an answer; return whether the server was unreachable."""
        health = self.find(name)
        self._record_answer(health, failed=0)
        health.unreachable = 0
        was_returning = health.is_returning
        health.is_returning = False
        return was_returning

    def note_failure(
        self,
        name: str,
        failure: ServerFailure,
        now: float,
    ) -> bool:
        """Record a failure; return whether the server is ejected by it."""
        health = self.find(name)
        if failure is ServerFailure.unreachable:
            return self._note_unreachable(health, now)
        self._record_answer(health, failed=1)
        settings = self.settings
        is_above_threshold = health.failure_rate >= settings.failure_threshold
        if not is_above_threshold or health.answers < settings.min_answers:
            return False
        health.ejected_until = now + settings.failure_ejection_s
        health.answers = 0
        health.failure_rate = 0
        return True

    def _note_unreachable(self, health: ServerHealth, now: float) -> bool:
        settings = self.settings
        ejection_s = settings.initial_ejection_s * 2**health.unreachable
        health.ejected_until = now + min(settings.max_ejection_s, ejection_s)
        health.unreachable += 1
        health.is_returning = True
        return True

    def _record_answer(self, health: ServerHealth, failed: int) -> None:
        weight = self.settings.newest_weight
        health.failure_rate += weight * (failed - health.failure_rate)
        health.answers += 1
