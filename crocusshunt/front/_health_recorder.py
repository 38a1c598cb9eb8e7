"""What the outcome of an attempt tells of the health of its server."""

from crocusshunt.core import Clock
from crocusshunt.front._attempts import Outcome, Verdict
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._placer_state import PlacerState
from crocusshunt.placement import ServerFailure, TrackedServer
from crocusshunt.upstream import AnswerHold

# A server that was unreachable may be cold when it returns, before its entry
# in the store shows that.
_RETURN_COLD_S = 2.5
_FAILURES = {
    Verdict.failed: ServerFailure.error,
    Verdict.shed: ServerFailure.shed,
    Verdict.broken: ServerFailure.broken,
    Verdict.unreachable: ServerFailure.unreachable,
}


class HealthRecorder:
    """Records successes and failures of servers."""

    def __init__(
        self, cluster: ClusterState, state: PlacerState, clock: Clock
    ) -> None:
        """Record in the state that the choice of a server depends on."""
        self._cluster = cluster
        self._state = state
        self._clock = clock

    def note(
        self, server: TrackedServer, outcome: Outcome, hold: AnswerHold
    ) -> None:
        """Record the outcome of an attempt.

        :param hold: how long the answer waited for room at this host.
        """
        if outcome.is_connection_lost and hold.held_s:
            # A server may give up an answer that this host doesn't read.
            return
        cluster = self._cluster
        name = server.entry.name
        now = self._clock.monotonic()
        if outcome.verdict is Verdict.answered:
            if cluster.health.note_success(name):
                cluster.servers.mark_cold(name, now + _RETURN_COLD_S)
        elif outcome.verdict is Verdict.misdirected:
            # The address now belongs to another server.
            cluster.drop_server(name, 'address now belongs to another server')
            return
        self._note_failure(server, outcome, now)

    def _note_failure(
        self, server: TrackedServer, outcome: Outcome, now: float
    ) -> None:
        cluster = self._cluster
        entry = server.entry
        failure = _FAILURES.get(outcome.verdict)
        if failure is ServerFailure.shed:
            if self._state.backoffs.is_backing_off(entry, now):
                # It has too much load and is not ill.
                return
        if failure is None:
            return
        peers = [
            one.entry.name
            for one in cluster.servers.select(entry.pool)
            if one.entry.name != entry.name
        ]
        if cluster.health.note_failure(entry.name, failure, now, peers):
            cluster.handle_ejection(server, outcome.detail)
