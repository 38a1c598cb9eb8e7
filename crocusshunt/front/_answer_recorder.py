"""What responses of backend servers tell for later decisions."""

import logging
from http import HTTPStatus

from crocusshunt.core import Clock
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._placements import PlacementRequest
from crocusshunt.front._placer_state import PlacerState
from crocusshunt.front._settings import HeaderNames
from crocusshunt.logs import log_event
from crocusshunt.placement import (
    ServerEntry,
    Timing,
    TrackedServer,
    parse_load,
    parse_retry_after,
)
from crocusshunt.sharing import MinIntervalLimiter
from crocusshunt.upstream import UpstreamAnswer

_MIN_SERVICE_S = 0.001
# Between log lines on unreadable headers of one server.
_LOG_INTERVAL_S = 60
_IS_DRAINING = b'1'


class AnswerRecorder:
    """Records times, loads, limits, backoffs and drains from responses."""

    def __init__(
        self,
        cluster: ClusterState,
        state: PlacerState,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        """Record in the state that the choice of a server depends on."""
        self._cluster = cluster
        self._state = state
        self._names = names
        self._clock = clock
        self._logged = MinIntervalLimiter()

    def record_headers(
        self, server: TrackedServer, response: UpstreamAnswer
    ) -> None:
        """Record the load, limit, backoff and drain that a server names."""
        self._record_load(server.entry, response)
        self._record_limit(server, response)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._record_backoff(server.entry, response)
        draining = response.find(self._names.draining.lower().encode())
        if draining is not None and draining.strip() == _IS_DRAINING:
            self._cluster.mark_draining(server.entry)

    def record_timing(
        self,
        server: TrackedServer,
        placement_request: PlacementRequest,
        took_s: float,
        load_before: float,
    ) -> None:
        """Record how long a server took for a request.

        :param took_s: from sending to the response, in seconds.
        :param load_before: requests at the server when it was sent.
        """
        route = placement_request.admission.route
        entry = server.entry
        load = self._state.find_load(entry.name)
        round_trip_s = self._state.round_trips.estimate(server.region)
        self._state.recent_objects.note(entry.name, placement_request.key)
        self._state.times.note(
            Timing(
                route.name,
                route.objective_s,
                placement_request.pool,
                entry.name,
                max(_MIN_SERVICE_S, took_s - round_trip_s),
                max(load_before, load.reported),
                entry.slots,
            ),
        )

    def _record_load(
        self, entry: ServerEntry, response: UpstreamAnswer
    ) -> None:
        load_header = response.find(self._names.load.lower().encode())
        report = (
            parse_load(load_header.decode('latin-1')) if load_header else None
        )
        if report is None:
            return
        # The request that was just answered still counts as in flight here.
        load = self._state.find_load(entry.name)
        load.note_report(report, self._clock.monotonic())
        if load.reported >= entry.slots:
            self._state.full_servers[entry.name] = load.reported

    def _record_limit(
        self, server: TrackedServer, response: UpstreamAnswer
    ) -> None:
        """Record the limit that a server names.

        A failure without a limit does not tell that there is none.
        """
        header = response.find(self._names.rate_limit.lower().encode())
        if header is None and response.status >= HTTPStatus.BAD_REQUEST:
            return
        named = None if header is None else header.decode('latin-1')
        now = self._clock.monotonic()
        self._state.limited.note_answer(server, named, now)

    def _record_backoff(
        self, entry: ServerEntry, response: UpstreamAnswer
    ) -> None:
        """Record for how long a server that rejects wants no request."""
        header = response.find(self._names.retry_after.lower().encode())
        if header is None:
            return
        now = self._clock.monotonic()
        text = header.decode('latin-1')
        seconds = parse_retry_after(text)
        if seconds is None:
            if self._logged.take(entry.name, _LOG_INTERVAL_S, now):
                log_event(
                    'unreadable backoff of a server ignored',
                    logging.WARNING,
                    server=entry.name,
                    text=text,
                )
        elif self._state.backoffs.note(entry, seconds, now):
            log_event(
                'server asked to back off', server=entry.name, seconds=seconds
            )
