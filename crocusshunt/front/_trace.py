"""What happened to one request, for the log."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from crocusshunt.fleet import HostRecord
from crocusshunt.metrics import EndedRequest, OutcomeKind, log_request

if TYPE_CHECKING:
    from crocusshunt.catalog import CatalogIndex
    from crocusshunt.front._admission import Admission
    from crocusshunt.front._exchange import Outcome
    from crocusshunt.front._placing import Placement
    from crocusshunt.placement import TrackedServer


_MILLISECONDS = 1000


@dataclass(slots=True)
class Sending:
    """One sending, with what decided it."""

    server: str
    region: str
    sent_s: float
    is_preferred: bool
    expected_s: float
    verdict: str = ''
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Considered:
    """A server that was not chosen, with what was known of it."""

    server: str
    load: float
    slots: int
    wait_s: float
    service_s: float


@dataclass(slots=True)
class Trace:
    """Course of a request.

    :param started_at: monotonic seconds.
    :param arrived: the same moment in seconds since the Unix epoch.
    :param expected_s: time to its answer when it was refused for lack of
        room.
    """

    request_id: str
    started_at: float
    arrived: float
    own: HostRecord
    route: str = ''
    pool: str = ''
    customer: str = ''
    configuration: int = 0
    patience_s: float | None = None
    retry_after_s: float | None = None
    expected_s: float | None = None
    sendings: list[Sending] = field(default_factory=list)
    considered: list[Considered] = field(default_factory=list)

    def note_admission(
        self,
        admission: 'Admission',
        index: 'CatalogIndex | None',
    ) -> None:
        """Note the route and customer, and the configuration they are from."""
        self.route = admission.route.name
        if admission.customer is not None:
            self.customer = admission.customer.name
        if index is not None:
            self.configuration = index.catalog.version

    def note_sending(
        self,
        server: 'TrackedServer',
        placement: 'Placement',
        now: float,
    ) -> None:
        """Note that the request goes to a server."""
        self.sendings.append(
            Sending(
                server.entry.name,
                server.region,
                round(now - self.started_at, 3),
                placement.is_preferred,
                round(placement.finish_s, 3),
            ),
        )

    def note_refusal(self, placement: 'Placement') -> None:
        """Note the servers that had no room, as this host saw them."""
        self.expected_s = round(placement.finish_s, 3)
        self.considered = [
            Considered(
                one.name,
                round(one.load, 1),
                one.slots,
                round(one.wait_s, 3),
                round(one.service_s, 3),
            )
            for one in placement.considered
        ]

    def note_outcome(self, outcome: 'Outcome') -> None:
        """Note what became of the last sending."""
        last = self.sendings[-1]
        last.verdict = outcome.verdict.value
        last.detail = outcome.detail

    def end(
        self,
        now: float,
        status: int,
        outcome: OutcomeKind,
        code: str,
    ) -> EndedRequest:
        """Return the record of the request's end, and write its log line.

        :param now: monotonic seconds.
        :param status: status that the caller got, 0 where it left.
        :param code: why, empty for the answer of a backend server.
        """
        ended = EndedRequest(
            request_id=self.request_id,
            time=self.arrived,
            duration_ms=round((now - self.started_at) * _MILLISECONDS, 1),
            region=self.own.region,
            host=self.own.name,
            outcome=outcome,
            status=status,
            route=self.route,
            customer=self.customer,
            pool=self.pool,
            server=self.sendings[-1].server if self.sendings else '',
            attempts=len(self.sendings),
            code=code,
        )
        log_request(
            ended,
            configuration=self.configuration,
            patience_s=self.patience_s,
            expected_s=self.expected_s,
            retry_after_s=self.retry_after_s,
            sendings=self.sendings,
            considered=self.considered,
        )
        return ended
