"""Backend servers that fail, found from what became of requests."""

from dataclasses import dataclass, field
from enum import Enum


class ServerFailure(str, Enum):
    """Ways in which a server failed a request."""

    unreachable = 'unreachable'
    broken = 'broken'
    error = 'error'
    shed = 'shed'


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """When a server is passed over, and for how long.

    :param first_ejection_s: first pause of an unreachable server, doubled
        with each further failure, in seconds.
    :param longest_ejection_s: in seconds.
    :param failing_share: share of failures among recent answers at which a
        server is passed over.
    :param failing_ejection_s: pause of a server that fails part of its
        requests, in seconds.
    :param memory: weight of the newest answer in the share of failures.
    :param least_answers: answers before the share counts.
    """

    first_ejection_s: float = 0.5
    longest_ejection_s: float = 4
    failing_share: float = 0.5
    failing_ejection_s: float = 3
    memory: float = 0.15
    least_answers: int = 6


@dataclass(slots=True)
class ServerHealth:
    """State of one server."""

    failing_share: float = 0
    answers: int = 0
    unreachable: int = 0
    ejected_until: float = 0
    is_returning: bool = False


@dataclass(slots=True)
class HealthTracker:
    """Health of all servers, by name.

    >>> book = HealthTracker(HealthSettings())
    >>> book.note_failure('s1', ServerFailure.unreachable, now=0)
    True
    >>> book.is_ejected('s1', now=0.4), book.is_ejected('s1', now=0.6)
    (True, False)
    """

    settings: HealthSettings
    _known: dict[str, ServerHealth] = field(default_factory=dict)

    def find(self, name: str) -> ServerHealth:
        """Return the state of a server."""
        return self._known.setdefault(name, ServerHealth())

    def forget(self, name: str) -> None:
        """Drop the state of a server that is gone."""
        self._known.pop(name, None)

    def is_ejected(self, name: str, now: float) -> bool:
        """Tell whether a server is passed over."""
        known = self._known.get(name)
        return known is not None and now < known.ejected_until

    def is_returning(self, name: str) -> bool:
        """Tell whether a server was unreachable and has not answered since."""
        known = self._known.get(name)
        return known is not None and known.is_returning

    def note_success(self, name: str) -> bool:
        """Take an answer; return whether the server had been unreachable."""
        health = self.find(name)
        self._count(health, failed=0)
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
        """Take a failure; return whether the server is now passed over."""
        health = self.find(name)
        if failure is ServerFailure.unreachable:
            return self._note_unreachable(health, now)
        self._count(health, failed=1)
        settings = self.settings
        is_failing = health.failing_share >= settings.failing_share
        if not is_failing or health.answers < settings.least_answers:
            return False
        health.ejected_until = now + settings.failing_ejection_s
        health.answers = 0
        health.failing_share = 0
        return True

    def _note_unreachable(self, health: ServerHealth, now: float) -> bool:
        settings = self.settings
        pause = settings.first_ejection_s * 2**health.unreachable
        health.ejected_until = now + min(settings.longest_ejection_s, pause)
        health.unreachable += 1
        health.is_returning = True
        return True

    def _count(self, health: ServerHealth, failed: int) -> None:
        weight = self.settings.memory
        health.failing_share += weight * (failed - health.failing_share)
        health.answers += 1
