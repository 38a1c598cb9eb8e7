"""Passive health checks: failing servers found from request outcomes."""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum

from crocusshunt.placement._outliers import OutlierBounds, is_outlier

# A server that rejects fewer requests than this share still serves the others
# from memory.
_REJECTION_THRESHOLD_SHARE = 0.9
_REJECTION_WEIGHT = 0.05
_REJECTION_MIN_COUNT = 20


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
    :param failure: bounds on answers that failed.
    :param rejection: bounds on requests refused without being run. A server
        that refuses part of its requests still serves the others, and holds
        their objects in memory.
    :param outlier_ejection_s: ejection time of a server whose share of
        failures or rejections is too high, in seconds.
    :param max_peer_share: a server is ejected only if the mean share of its
        peers is not higher; otherwise its requests would fail elsewhere too.
    :param min_known_peer_share: share of its peers that must have enough
        answers for the comparison.
    :param max_ejected_share: highest share of a pool's servers that is
        ejected, except unreachable ones.
    """

    initial_ejection_s: float = 0.5
    max_ejection_s: float = 4
    failure: OutlierBounds = OutlierBounds()
    rejection: OutlierBounds = OutlierBounds(
        _REJECTION_THRESHOLD_SHARE,
        _REJECTION_WEIGHT,
        _REJECTION_MIN_COUNT,
    )
    outlier_ejection_s: float = 3
    max_peer_share: float = 0.25
    min_known_peer_share: float = 0.5
    max_ejected_share: float = 0.4


@dataclass(slots=True)
class ServerHealth:
    """State of one server.

    :param failure_share: moving average of failed answers, 0 to 1.
    :param rejection_share: moving average of rejected requests, 0 to 1.
    :param answers: answers since the last ejection for failures.
    :param unreachable: consecutive failures to reach the server.
    :param ejected_until: end of its ejection, monotonic seconds.
    :param is_returning: whether it was unreachable and has not answered
        since.
    :param has_answered: whether an attempt ever reached it.
    """

    failure_share: float = 0
    rejection_share: float = 0
    answers: int = 0
    unreachable: int = 0
    ejected_until: float = 0
    is_returning: bool = False
    has_answered: bool = False

    def find_share(self, failure: ServerFailure) -> float:
        """Return the share of answers with this kind of failure."""
        if failure is ServerFailure.shed:
            return self.rejection_share
        return self.failure_share


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

    def is_unreachable(self, name: str) -> bool:
        """Tell whether the last attempt to reach a server failed."""
        known = self._servers.get(name)
        return known is not None and known.unreachable > 0

    def has_answered(self, name: str) -> bool:
        """Tell whether a server has answered any attempt of this host."""
        known = self._servers.get(name)
        return known is not None and known.has_answered

    def forget_unreachable(self) -> None:
        """Use servers again that were ejected because they were unreachable."""
        for health in self._servers.values():
            if health.unreachable:
                health.unreachable = 0
                health.ejected_until = 0
                health.is_returning = False

    def note_success(self, name: str) -> bool:
        """Record an answer; return whether the server was unreachable."""
        health = self.find(name)
        self._record_answer(health, None)
        health.unreachable = 0
        was_returning = health.is_returning
        health.is_returning = False
        return was_returning

    def note_failure(
        self,
        name: str,
        failure: ServerFailure,
        now: float,
        peers: Collection[str] = (),
    ) -> bool:
        """Record a failure; return whether the server is ejected by it.

        :param peers: names of the other servers of its pool.
        """
        health = self.find(name)
        if failure is ServerFailure.unreachable:
            return self._note_unreachable(health, now)
        self._record_answer(health, failure)
        if not self._is_outlier(health, failure, peers):
            return False
        ejected = sum(self.is_ejected(peer, now) for peer in peers) + 1
        servers = len(peers) + 1
        if peers and ejected > self.settings.max_ejected_share * servers:
            return False
        health.ejected_until = now + self.settings.outlier_ejection_s
        health.answers = 0
        health.failure_share = 0
        health.rejection_share = 0
        return True

    def _is_outlier(
        self,
        health: ServerHealth,
        failure: ServerFailure,
        peers: Collection[str],
    ) -> bool:
        settings = self.settings
        is_rejection = failure is ServerFailure.shed
        bounds = settings.rejection if is_rejection else settings.failure
        if health.answers < bounds.min_answers:
            return False
        known = [
            other
            for other in map(self.find, peers)
            if other.answers >= bounds.min_answers
        ]
        if len(known) < settings.min_known_peer_share * len(peers):
            return False
        return is_outlier(
            health.find_share(failure),
            [other.find_share(failure) for other in known],
            bounds.threshold,
            settings.max_peer_share,
        )

    def _note_unreachable(self, health: ServerHealth, now: float) -> bool:
        settings = self.settings
        ejection_s = settings.initial_ejection_s * 2**health.unreachable
        health.ejected_until = now + min(settings.max_ejection_s, ejection_s)
        health.unreachable += 1
        health.is_returning = True
        return True

    def _record_answer(
        self, health: ServerHealth, failure: ServerFailure | None
    ) -> None:
        """Update the moving averages; ``failure`` is None for a success."""
        is_rejection = failure is ServerFailure.shed
        health.answers += 1
        health.has_answered = True
        health.rejection_share = _smooth(
            health.rejection_share,
            float(is_rejection),
            self.settings.rejection.newest_weight,
        )
        if not is_rejection:
            health.failure_share = _smooth(
                health.failure_share,
                float(failure is not None),
                self.settings.failure.newest_weight,
            )


def _smooth(known: float, newest: float, weight: float) -> float:
    return known + weight * (newest - known)
