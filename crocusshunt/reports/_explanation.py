"""Explanation of how a request was steered, and why it was refused."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.core import CrocusError
from crocusshunt.metrics import EndedRequest, OutcomeKind, parse_request
from crocusshunt.reports._decision_inputs import RequestInputs, parse_inputs

# Reason and next step for operators, by code of the outcome.
_REASONS: Mapping[str, tuple[str, str]] = {
    'rate-exceeded': (
        'the customer was over its rate and burst',
        'compare with "crocusctl get customer"; raise the rate if it is right',
    ),
    'limit-unavailable': (
        'this host could not get tokens for the customer',
        'check the controllers of the named host and of its peers',
    ),
    'key-missing': ('the route needs a key and none came', 'ask the caller'),
    'key-unknown': (
        'no key of this name and secret was ever granted',
        'compare with "crocusctl key list"',
    ),
    'key-withdrawn': (
        'the key was withdrawn',
        'see who did it and why with "crocusctl audit"',
    ),
    'key-ambiguous': ('different keys came in one request', 'ask the caller'),
    'key-evidence-stale': (
        'this host could not tell whether the key was withdrawn meanwhile',
        'read docs/operators/store-outage.md',
    ),
    'configuration-missing': (
        'this host had not read the configuration yet',
        'check that crocus-api runs and reaches the store',
    ),
    'no-route': (
        'no route matches host, path, method and customer',
        'compare with "crocusctl get route"',
    ),
    'no-room': (
        'no backend server of the pool had a free slot in time',
        'see "crocusctl top" and draining servers with "crocusctl get server"',
    ),
    'deadline-exceeded': (
        'the deadline of the route passed',
        'look for slow backend servers of the pool',
    ),
    'host-leaving': (
        'the gateway was stopping',
        'nothing: callers go on to another gateway',
    ),
    'claim-unavailable': (
        'the claim that keeps it from running twice could not be stored',
        'read docs/operators/store-outage.md',
    ),
    'over-rate': (
        'the customer was over its rate, counted over all hosts',
        'look for "customer over its rate" in the logs, with what was asked',
    ),
    'unknown-key': (
        'no customer of the configuration holds this key',
        'compare the configuration version with the time of the withdrawal',
    ),
    'no-configuration': (
        'this host had not read the configuration yet',
        'look for "store lost" in the logs of this host',
    ),
    'no-server': (
        'no backend server of the pool was open for this request',
        'look for "server entry changed", "server dropped" and emptied domains',
    ),
    'no-warm-server': (
        'all open backend servers of the pool were cold or passed over',
        'look for "server passed over" and cold_left_s in the logs',
    ),
    'server-limit': (
        'the servers of the pool take no more requests now, by their limits',
        'look for "server limit changed"; ask who runs the servers',
    ),
    'server-backoff': (
        'all open backend servers of the pool asked this host to back off',
        'look for "server asked to back off"; ask who runs the servers',
    ),
    'isolated': (
        'requests of this customer and route crash servers one after another',
        'look for "requests isolated"; its few servers were down or full',
    ),
    'quarantined': (
        'backend servers crashed under this request at its earlier arrivals',
        'look for "request quarantined" and its fingerprint; tell the owner',
    ),
    'not-run-shed': (
        'a backend server rejected it and said that it did not run it',
        'see the load of the named server; look for others that shed',
    ),
    'not-run-withheld': (
        'its server took no requests any more when it was to be sent',
        'look for "server draining" and "server asked to back off"',
    ),
    'not-run-unreachable': (
        'no backend server could be reached',
        'look for "server passed over" with the same cause on other hosts',
    ),
    'not-run-misdirected': (
        'the address of the server belongs to another server now',
        'look for the entry of the named server after this time',
    ),
    'server-broken': (
        'the connection broke after the request was sent',
        'the outcome is unknown; ask the service by the request id',
    ),
    'configuration-changed': (
        'its key, route, pool or homes were withdrawn while it was under way',
        'look for "configuration in force" between its arrival and its end',
    ),
    'no-common-home': (
        'its route and its customer have homes, but none in common',
        'compare the homes of both in the configuration; correct one of them',
    ),
    'older-configuration': (
        'another host passed it on by a newer configuration than this one has',
        'look for "configuration in force" with its version on both hosts',
    ),
    'relay-broken': (
        'the connection to the host that it was passed on to broke',
        'the outcome is unknown; look for the id in the logs of that host',
    ),
    'server-failed': (
        'the backend server answered with a failure of its own',
        'give the request id to the owner of the service',
    ),
    'timeout': (
        'the timeout of the route or the deadline of the caller passed',
        'compare the expected time of the sending; look for slow servers',
    ),
    'caller-left': ('the caller closed its connection', 'ask the caller'),
    'body-too-large': (
        'the body was larger than the configuration allows',
        'compare with the limits of the configuration',
    ),
    'body-timeout': (
        "the body wasn't whole within the timeout of the route",
        'ask the caller; look at its link',
    ),
    'buffers-full': (
        'this host held too many bytes of request bodies',
        'see crocus_requests_in_flight; look for slow callers',
    ),
    'request-quarantined': (
        'the same request had crashed backend servers before',
        'give the request id to the owner of the service',
    ),
}
_REASON_OF_OTHER_CODES = ('the code says why', 'read docs/operators/alarms.md')
_RUN_STATEMENTS: Mapping[OutcomeKind, str] = {
    OutcomeKind.answered: 'it ran, and the caller got the whole answer',
    OutcomeKind.not_run: 'no backend server ran it',
    OutcomeKind.unknown: 'a backend server may have run it',
    OutcomeKind.cancelled: 'the caller left; a backend server may have run it',
}


@dataclass(unsafe_hash=True)
class UnknownRequestError(CrocusError):
    """No line of the logs is about the request."""

    code = 'request-unknown'

    request_id: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """One request and why it ended as it did, for operators.

    :param ran: whether a backend server ran it, as far as known.
    :param reason: why it was refused or failed, empty if answered.
    :param next_step: what an operator can do, empty if nothing.
    :param inputs: what the decisions on it were based on.
    """

    request: EndedRequest
    ran: str
    reason: str
    next_step: str
    inputs: RequestInputs = RequestInputs()

    def describe(self) -> tuple[str, ...]:
        """Return lines of text for operators."""
        ended = self.request
        customer = ended.customer or 'no customer'
        lines = [
            f'{ended.request_id}: {ended.outcome.value} with status '
            f'{ended.status} after {ended.duration_ms:.0f} ms',
            f'  at    {ended.host} in {ended.region}, for {customer}',
            f'  route {ended.route or "none"}{_describe_target(ended)}',
            f'  ran   {self.ran}',
        ]
        lines.extend(self.inputs.describe())
        if self.reason:
            lines.append(f'  why   {ended.code}: {self.reason}')
        if self.next_step:
            lines.append(f'next: {self.next_step}')
        return tuple(lines)


def explain_request(
    request_id: str,
    lines: Iterable[str],
) -> Result[Explanation, UnknownRequestError]:
    """Return why a request ended as it did.

    :param request_id: value of the header ``X-Request-Id``.
    :param lines: log lines of gateways, in any order.

    >>> explain_request('req-1', ()).unwrap_err()
    UnknownRequestError(request_id='req-1')
    """
    for line in lines:
        if request_id not in line:
            continue
        ended = parse_request(line)
        if ended is not None and ended.request_id == request_id:
            return Ok(_build_explanation(ended, parse_inputs(line)))
    return Err(UnknownRequestError(request_id))


def _build_explanation(
    ended: EndedRequest, inputs: RequestInputs
) -> Explanation:
    reason, next_step = '', ''
    if ended.code:
        reason, next_step = _REASONS.get(ended.code, _REASON_OF_OTHER_CODES)
    ran = _RUN_STATEMENTS[ended.outcome]
    return Explanation(ended, ran, reason, next_step, inputs)


def _describe_target(ended: EndedRequest) -> str:
    pool = f' to pool {ended.pool}' if ended.pool else ''
    if not ended.server:
        return pool
    return f'{pool}, server {ended.server}, attempt {ended.attempts}'
