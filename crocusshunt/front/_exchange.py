"""One sending of a request to one backend server."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from crocusshunt.core import Clock
from crocusshunt.front._knowledge import Knowledge
from crocusshunt.front._placing import PlacerState, Placing
from crocusshunt.front._settings import HeaderNames
from crocusshunt.logs import log_event
from crocusshunt.placement import (
    ServerEntry,
    ServerFailure,
    Timing,
    TrackedServer,
    parse_load,
)
from crocusshunt.upstream import (
    AnswerBrokenError,
    Connection,
    NotConnectedError,
    UpstreamAnswer,
    UpstreamRequest,
)

_MILLISECONDS = 1000
_STATUS_MISDIRECTED = 421
_STATUS_SERVER_ERROR = 500
# A server that was unreachable may come back cold before its entry says so.
_RETURN_COLD_S = 2.5


class Verdict(Enum):
    """What became of one sending."""

    answered = 'answered'
    failed = 'failed'
    shed = 'shed'
    misdirected = 'misdirected'
    unreachable = 'unreachable'
    broken = 'broken'
    timed_out = 'timed-out'


_NOT_RUN = frozenset((Verdict.shed, Verdict.misdirected, Verdict.unreachable))
_FAILURES = {
    Verdict.failed: ServerFailure.error,
    Verdict.shed: ServerFailure.shed,
    Verdict.broken: ServerFailure.broken,
    Verdict.unreachable: ServerFailure.unreachable,
}


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one sending.

    :param answer: the server's own answer, if a whole one came.
    """

    verdict: Verdict
    answer: UpstreamAnswer | None = None
    detail: str = ''

    @property
    def may_have_run(self) -> bool:
        """Tell whether the server may have begun to run the request."""
        return self.verdict not in _NOT_RUN


@dataclass(frozen=True, slots=True)
class Attempt:
    """The parts of a request that every sending repeats.

    :param headers: without those that depend on the server or the time.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | None

    def build(self, added: list[tuple[str, str]]) -> UpstreamRequest:
        """Return the request for one server."""
        headers = [*self.headers, *added]
        if self.body is not None:
            headers.append(('Content-Length', str(len(self.body))))
        return UpstreamRequest(
            _encode(self.request_id),
            _encode(self.method),
            _encode(self.target),
            tuple((_encode(name), _encode(text)) for name, text in headers),
            self.body,
        )


class Exchanger:
    """Sends requests and notes what their servers did."""

    def __init__(
        self,
        knowledge: Knowledge,
        state: PlacerState,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        """Use the books of a host."""
        self._knowledge = knowledge
        self._state = state
        self._names = names
        self._clock = clock

    async def run(
        self,
        attempt: Attempt,
        server: TrackedServer,
        placing: Placing,
    ) -> Outcome:
        """Send a request and return what became of it."""
        started_at = self._clock.monotonic()
        load = self._state.find_load(server.entry.name)
        load_before = load.estimate(started_at)
        load.in_flight += 1
        try:
            outcome = await self._try(attempt, server, placing)
        finally:
            load.in_flight -= 1
        self._note(server, outcome)
        if outcome.verdict is Verdict.answered:
            took_s = self._clock.monotonic() - started_at
            self._note_time(server, placing, took_s, load_before)
        return outcome

    def _note_time(
        self,
        server: TrackedServer,
        placing: Placing,
        took_s: float,
        load_before: float,
    ) -> None:
        route = placing.admission.route
        entry = server.entry
        load = self._state.find_load(entry.name)
        self._state.familiar.note(entry.name, placing.key)
        self._state.times.note(
            Timing(
                route.name,
                route.objective_s,
                placing.pool,
                entry.name,
                took_s,
                max(load_before, load.reported),
                entry.slots,
            ),
        )

    async def _try(
        self,
        attempt: Attempt,
        server: TrackedServer,
        placing: Placing,
    ) -> Outcome:
        left = placing.final_at - self._clock.monotonic()
        try:
            async with asyncio.timeout(left):
                connection = await self._connect(server, placing)
                answer = await self._exchange(
                    attempt,
                    server,
                    placing,
                    connection,
                )
        except NotConnectedError as unreachable:
            return Outcome(Verdict.unreachable, detail=unreachable.detail)
        except AnswerBrokenError as broken:
            return Outcome(Verdict.broken, detail=broken.detail)
        except TimeoutError:
            return Outcome(
                Verdict.timed_out, detail='route timeout or deadline'
            )
        return self._judge(answer)

    async def _connect(
        self,
        server: TrackedServer,
        placing: Placing,
    ) -> Connection:
        entry = server.entry
        connections = self._knowledge.connections
        kept = connections.take(
            entry.name,
            entry.address,
            is_repeatable=placing.admission.route.is_idempotent,
        )
        return kept or await connections.open(entry.address)

    async def _exchange(
        self,
        attempt: Attempt,
        server: TrackedServer,
        placing: Placing,
        connection: Connection,
    ) -> UpstreamAnswer:
        entry = server.entry
        left = placing.final_at - self._clock.monotonic()
        customer = placing.admission.customer
        names = self._names
        added = [
            (names.deadline_ms, str(max(1, int(left * _MILLISECONDS)))),
            (names.expected_server, entry.name),
        ]
        if customer is not None:
            added.append((names.customer, customer.name))
        answer = await self._ask(connection, attempt.build(added), entry)
        self._knowledge.connections.give_back(
            entry.name,
            entry.address,
            connection,
        )
        self._note_report(entry, answer)
        return answer

    async def _ask(
        self,
        connection: Connection,
        request: UpstreamRequest,
        entry: ServerEntry,
    ) -> UpstreamAnswer:
        sent_at = self._clock.monotonic()
        try:
            return await connection.exchange(request)
        except AnswerBrokenError:
            after_s = self._clock.monotonic() - sent_at
            if self._knowledge.connections.note_broken(connection, after_s):
                log_event(
                    'idle connection was forgotten',
                    server=entry.name,
                    rested_s=round(connection.idle_s, 3),
                )
            raise

    def _note_report(self, entry: ServerEntry, answer: UpstreamAnswer) -> None:
        told = answer.find(self._names.load.lower().encode())
        report = parse_load(told.decode('latin-1')) if told else None
        if report is None:
            return
        # The answered request still counts as in flight here.
        load = self._state.find_load(entry.name)
        load.note_report(report, self._clock.monotonic())
        if load.reported >= entry.slots:
            self._state.full[entry.name] = load.reported

    def _judge(self, answer: UpstreamAnswer) -> Outcome:
        not_run = answer.find(self._names.not_run.lower().encode())
        if answer.status == _STATUS_MISDIRECTED:
            return Outcome(Verdict.misdirected, detail='another server')
        if not_run is not None:
            return Outcome(Verdict.shed, detail=f'status {answer.status}')
        if answer.status >= _STATUS_SERVER_ERROR:
            detail = f'status {answer.status}'
            return Outcome(Verdict.failed, answer, detail)
        signature = answer.find(self._names.signature.lower().encode())
        if signature is None:
            return Outcome(Verdict.broken, detail='unsigned answer')
        return Outcome(Verdict.answered, answer)

    def _note(self, server: TrackedServer, outcome: Outcome) -> None:
        knowledge = self._knowledge
        name = server.entry.name
        now = self._clock.monotonic()
        if outcome.verdict is Verdict.answered:
            if knowledge.health.note_success(name):
                knowledge.servers.mark_cold(name, now + _RETURN_COLD_S)
        elif outcome.verdict is Verdict.misdirected:
            # Whoever has the address now, it is not this server.
            self._knowledge.drop_server(name, 'address has another server')
            return
        failure = _FAILURES.get(outcome.verdict)
        if failure is None:
            return
        if knowledge.health.note_failure(name, failure, now):
            knowledge.note_ejection(server, outcome.detail)


def _encode(text: str) -> bytes:
    return text.encode('utf-8', 'surrogateescape')
