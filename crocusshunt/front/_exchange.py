"""One attempt to have a request answered by one backend server."""

import asyncio
from dataclasses import replace
from functools import partial

from crocusshunt.core import Clock
from crocusshunt.front._answer_recorder import AnswerRecorder
from crocusshunt.front._answers import (
    WithheldError,
    classify_answer,
    classify_failure,
)
from crocusshunt.front._attempts import Outcome, RequestTemplate, Verdict
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._crash_watch import CrashWatch
from crocusshunt.front._health_recorder import HealthRecorder
from crocusshunt.front._placements import PlacementRequest
from crocusshunt.front._placer_state import PlacerState
from crocusshunt.front._renewal import may_go
from crocusshunt.front._server_reach import ServerReach
from crocusshunt.front._settings import HeaderNames
from crocusshunt.logs import log_event
from crocusshunt.placement import (
    ServerEntry,
    TrackedServer,
)
from crocusshunt.upstream import (
    AnswerBrokenError,
    AnswerHold,
    Connection,
    UpstreamAnswer,
    UpstreamError,
    UpstreamRequest,
)

_MILLISECONDS = 1000


class Exchanger:
    """Sends requests and updates load, health and timing of their servers."""

    def __init__(
        self,
        cluster: ClusterState,
        state: PlacerState,
        crashes: CrashWatch,
        reach: ServerReach,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        """Use the components of a host."""
        self._cluster = cluster
        self._state = state
        self._crashes = crashes
        self._reach = reach
        self._names = names
        self._recorder = AnswerRecorder(cluster, state, names, clock)
        self._health = HealthRecorder(cluster, state, clock)
        self._clock = clock

    async def send(
        self,
        template: RequestTemplate,
        server: TrackedServer,
        placement_request: PlacementRequest,
    ) -> Outcome:
        """Send a request to a server and return the outcome.

        The attempt ends with the request's deadline at the latest.
        """
        started_at = self._clock.monotonic()
        load = self._state.find_load(server.entry.name)
        load_before = load.estimate(started_at)
        load.in_flight += 1
        hold = AnswerHold(self._clock, load.note_hold)
        try:
            outcome = await self._attempt(
                template, server, placement_request, hold
            )
        except asyncio.CancelledError:
            self._note_given_up(template, server, placement_request)
            raise
        finally:
            load.in_flight -= 1
        if outcome.verdict is Verdict.withheld:
            return outcome
        self._health.note(server, outcome, hold)
        if outcome.is_unanswered:
            self._reach.note_failure()
        else:
            self._reach.note_answer()
        if outcome.verdict is Verdict.timed_out:
            self._note_given_up(template, server, placement_request)
        if outcome.is_connection_lost:
            self._crashes.note_lost_connection(
                template.fingerprint, placement_request.origin, server
            )
        if outcome.verdict is Verdict.answered:
            self._crashes.note_answer(template.fingerprint)
            self._recorder.record_timing(
                server, placement_request, outcome.took_s, load_before
            )
        return outcome

    async def _attempt(
        self,
        template: RequestTemplate,
        server: TrackedServer,
        placement_request: PlacementRequest,
        hold: AnswerHold,
    ) -> Outcome:
        remaining_s = placement_request.final_at - self._clock.monotonic()
        try:
            async with asyncio.timeout(remaining_s) as timeout:
                with self._crashes.attempts.track(
                    template.fingerprint, timeout
                ):
                    connection = await self._connect(
                        template, server, placement_request
                    )
                    sent_at = self._clock.monotonic()
                    response = await self._exchange(
                        template,
                        server,
                        placement_request,
                        connection,
                        hold,
                    )
        except (UpstreamError, WithheldError) as failed:
            return classify_failure(failed)
        except TimeoutError:
            return Outcome(
                Verdict.timed_out, detail=self._describe_timeout(template)
            )
        took_s = self._clock.monotonic() - sent_at - hold.held_s
        return replace(classify_answer(response, self._names), took_s=took_s)

    def _note_given_up(
        self,
        template: RequestTemplate,
        server: TrackedServer,
        placement_request: PlacementRequest,
    ) -> None:
        self._crashes.note_given_up(
            template.fingerprint, placement_request.origin, server
        )

    def _describe_timeout(self, template: RequestTemplate) -> str:
        if self._crashes.is_quarantined(template.fingerprint):
            return 'request quarantined'
        return 'route timeout or deadline'

    async def _connect(
        self,
        template: RequestTemplate,
        server: TrackedServer,
        placement_request: PlacementRequest,
    ) -> Connection:
        entry = server.entry
        connections = self._cluster.connections
        reused = connections.take(
            entry.name,
            entry.address,
            template.encoded_id,
            is_repeatable=placement_request.admission.route.is_idempotent,
        )
        if reused is not None:
            return reused
        started_at = self._clock.monotonic()
        opened = await connections.open(entry.address)
        took_s = self._clock.monotonic() - started_at
        self._state.round_trips.note(server.region, took_s)
        return opened

    async def _exchange(
        self,
        template: RequestTemplate,
        server: TrackedServer,
        placement_request: PlacementRequest,
        connection: Connection,
        hold: AnswerHold,
    ) -> UpstreamAnswer:
        entry = server.entry
        if not self._may_still_send(server, placement_request):
            self._give_back(entry, connection)
            raise WithheldError
        remaining_s = placement_request.final_at - self._clock.monotonic()
        customer = placement_request.admission.customer
        names = self._names
        added = [
            (names.deadline_ms, str(max(1, int(remaining_s * _MILLISECONDS)))),
            (names.expected_server, entry.name),
        ]
        if customer is not None:
            added.append((names.customer, customer.name))
        request = template.build(added)
        response = await self._send_on(connection, request, server, hold)
        self._give_back(entry, connection)
        return response

    def _may_still_send(
        self, server: TrackedServer, request: PlacementRequest
    ) -> bool:
        """Tell whether a server that was chosen may still get a request."""
        if not self._cluster.servers.is_open(server):
            return False
        if not may_go(request, server.region, self._cluster.index):
            return False
        return not self._is_backing_off(server.entry)

    def _is_backing_off(self, entry: ServerEntry) -> bool:
        """Tell whether a server asked this host to send nothing now."""
        now = self._clock.monotonic()
        return self._state.backoffs.is_backing_off(entry, now)

    def _give_back(self, entry: ServerEntry, connection: Connection) -> None:
        connections = self._cluster.connections
        connections.give_back(entry.name, entry.address, connection)

    async def _send_on(
        self,
        connection: Connection,
        request: UpstreamRequest,
        server: TrackedServer,
        hold: AnswerHold,
    ) -> UpstreamAnswer:
        sent_at = self._clock.monotonic()
        note_head = partial(self._recorder.record_headers, server)
        try:
            return await connection.exchange(request, hold, note_head)
        except AnswerBrokenError:
            after_s = self._clock.monotonic() - sent_at
            if self._cluster.connections.note_broken(connection, after_s):
                log_event(
                    'idle connection broke on reuse',
                    server=server.entry.name,
                    idle_s=round(connection.idle_s, 3),
                )
            raise
