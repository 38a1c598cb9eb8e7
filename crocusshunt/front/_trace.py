"""Record of the processing of one request, for the log."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from crocusshunt.fleet import HostRecord
from crocusshunt.front._attempts import Verdict
from crocusshunt.metrics import EndedRequest, OutcomeKind, log_request

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crocusshunt.catalog import CatalogIndex
    from crocusshunt.front._admission import Admission
    from crocusshunt.front._attempts import Outcome
    from crocusshunt.front._headers import RequestInfo
    from crocusshunt.front._placements import Placement
    from crocusshunt.front._refusals import PassedOver
    from crocusshunt.placement import TrackedServer


_MILLISECONDS = 1000


@dataclass(slots=True)
class AttemptRecord:
    """One attempt to send a request, with the reasons for its server.

    Written to the request's log line under these names.

    :param sent_s: seconds from the arrival of the request.
    :param is_preferred: whether the server was first in the ranking.
    :param expected_s: expected seconds until the response, when it was sent.
    """

    server: str
    region: str
    sent_s: float
    is_preferred: bool
    expected_s: float
    verdict: str = ''
    detail: str = ''


@dataclass(frozen=True, slots=True)
class ConsideredServer:
    """A server that a refused request did not get, with its estimated load.

    Written to the request's log line under these names.

    :param load: requests running or waiting there.
    :param wait_s: expected seconds until a slot is free.
    :param service_s: expected seconds in a slot.
    :param rule: why a free slot was not taken, empty without one.
    """

    server: str
    load: float
    slots: int
    wait_s: float = 0
    service_s: float = 0
    rule: str = ''


@dataclass(slots=True)
class RelayRecord:
    """One attempt to pass a request on to another host.

    Written to the request's log line under these names.

    :param detail: cause of a failure, empty if the host answered.
    """

    host: str
    detail: str = ''


@dataclass(slots=True)
class RequestTrace:
    """Collects what happened to a request until it ends.

    :param started_at: arrival, monotonic seconds.
    :param arrived_at: arrival, seconds since the Unix epoch.
    :param host: the host that processes the request.
    :param configuration: version of the configuration that applied.
    :param asked_host: value of the Host header.
    :param has_key: whether the request came with a key.
    :param caller_timeout_s: how long the caller waits, None if unknown.
    :param objective_s: latency objective of the route, None without a route.
    :param expected_s: expected seconds until the response when the request was
        refused for lack of room.
    :param considered: servers that it did not get when it was refused.
    :param fingerprint: digest by which repeats are recognized, empty unless a
        server ended the connection of an attempt or the request is quarantined.
    :param relays: attempts to pass it on to other hosts.
    :param relayed_by: the host that passed it on to this one, empty for a
        caller's own connection.
    """

    request_id: str
    started_at: float
    arrived_at: float
    host: HostRecord
    route: str = ''
    pool: str = ''
    customer: str = ''
    configuration: int = 0
    asked_host: str = ''
    has_key: bool = False
    caller_timeout_s: float | None = None
    objective_s: float | None = None
    retry_after_s: float | None = None
    expected_s: float | None = None
    attempts: list[AttemptRecord] = field(default_factory=list)
    considered: list[ConsideredServer] = field(default_factory=list)
    fingerprint: str = ''
    relays: list[RelayRecord] = field(default_factory=list)
    relayed_by: str = ''

    @property
    def may_have_run(self) -> bool:
        """Tell whether a server may have begun to execute the request.

        That holds for an attempt that is still under way, too.
        """
        if self.relays:
            return True
        return any(
            not one.verdict or Verdict(one.verdict).may_have_run
            for one in self.attempts
        )

    def record_request(
        self,
        request_info: 'RequestInfo',
        index: 'CatalogIndex | None',
    ) -> None:
        """Record by what a request is admitted, also if it is refused."""
        self.asked_host = request_info.host
        self.has_key = request_info.key is not None
        if index is not None:
            self.configuration = index.catalog.version

    def record_admission(self, admission: 'Admission') -> None:
        """Record the route and the customer."""
        self.route = admission.route.name
        self.objective_s = admission.route.objective_s
        if admission.customer is not None:
            self.customer = admission.customer.name

    def record_attempt(
        self,
        server: 'TrackedServer',
        placement: 'Placement',
        now: float,
    ) -> None:
        """Record that the request is sent to a server."""
        self.attempts.append(
            AttemptRecord(
                server.entry.name,
                server.region,
                round(now - self.started_at, 3),
                placement.is_preferred,
                round(placement.finish_s, 3),
            ),
        )

    def record_refusal(
        self, placement: 'Placement', passed_over: 'Sequence[PassedOver]'
    ) -> None:
        """Record the servers that the request did not get.

        :param passed_over: servers with a free slot that were not compared.
        """
        self.expected_s = round(placement.finish_s, 3)
        self.considered = [
            ConsideredServer(
                one.name,
                round(one.load, 1),
                one.slots,
                round(one.wait_s, 3),
                round(one.service_s, 3),
                placement.rules.get(one.name, ''),
            )
            for one in placement.considered
        ]
        compared = {one.server for one in self.considered}
        self.considered.extend(
            ConsideredServer(
                one.name, round(one.load, 1), one.slots, rule=one.rule
            )
            for one in passed_over
            if one.name not in compared
        )

    def record_outcome(self, outcome: 'Outcome') -> None:
        """Record the outcome of the last attempt."""
        last = self.attempts[-1]
        last.verdict = outcome.verdict.value
        last.detail = outcome.detail

    def finish(
        self,
        now: float,
        status: int,
        outcome: OutcomeKind,
        code: str,
    ) -> EndedRequest:
        """Write the log line of the request; return its record.

        :param now: monotonic seconds.
        :param status: status that the caller got, 0 if it disconnected.
        :param code: reason, empty for the response of a backend server.
        """
        record = EndedRequest(
            request_id=self.request_id,
            time=self.arrived_at,
            duration_ms=round((now - self.started_at) * _MILLISECONDS, 1),
            region=self.host.region,
            host=self.host.name,
            outcome=outcome,
            status=status,
            route=self.route,
            customer=self.customer,
            pool=self.pool,
            server=self.attempts[-1].server if self.attempts else '',
            attempts=len(self.attempts),
            code=code,
        )
        log_request(
            record,
            configuration=self.configuration,
            asked_host=self.asked_host,
            has_key=self.has_key,
            patience_s=self.caller_timeout_s,
            objective_s=self.objective_s,
            expected_s=self.expected_s,
            retry_after_s=self.retry_after_s,
            sendings=self.attempts,
            considered=self.considered,
            fingerprint=self.fingerprint,
            relays=self.relays,
            relayed_by=self.relayed_by,
        )
        return record
