"""Summary of a run, computed from its ended requests."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from crocusshunt.metrics import (
    EndedRequest,
    Latencies,
    OutcomeKind,
    parse_request,
)
from crocusshunt.reports._rate_check import count_refused_within_rate
from crocusshunt.routing import Customer

_MEDIAN_QUANTILE = 0.5
_TAIL_QUANTILE = 0.99


@dataclass(frozen=True, slots=True)
class CustomerSummary:
    """Summary of the requests of one customer.

    :param requests: number of requests.
    :param answered: number of requests that were answered.
    :param refused: number of refusals that the request itself did not cause.
    :param wrongful: number of refusals within rate and burst, None if the
        rate of the customer is not known.
    :param unknown: number of requests of unknown outcome.
    :param median_ms: median latency of the answered requests.
    :param tail_ms: 99th percentile of that latency.
    """

    name: str
    requests: int
    answered: int
    refused: int
    wrongful: int | None
    unknown: int
    median_ms: float
    tail_ms: float

    @property
    def answered_share(self) -> float:
        """Return the share of requests that were answered, from 0 to 1."""
        return self.answered / self.requests


@dataclass(frozen=True, slots=True)
class Summary:
    """Summary of a run.

    :param requests: number of requests.
    :param routes: latencies of answered requests by route.
    :param regions: latencies of answered requests by region.
    """

    requests: int
    customers: tuple[CustomerSummary, ...]
    routes: Mapping[str, Latencies]
    regions: Mapping[str, Latencies]

    @property
    def worst_served(self) -> CustomerSummary | None:
        """Return the customer with the lowest share answered."""
        return min(
            self.customers,
            key=lambda customer: (customer.answered_share, customer.name),
            default=None,
        )


def read_requests(lines: Iterable[str]) -> tuple[EndedRequest, ...]:
    """Return the requests recorded in log lines, in order of arrival."""
    parsed = (parse_request(line) for line in lines)
    return tuple(
        sorted(
            (ended for ended in parsed if ended is not None),
            key=lambda ended: (ended.time, ended.request_id),
        ),
    )


def summarize(
    requests: Sequence[EndedRequest],
    rates: Mapping[str, Customer],
) -> Summary:
    """Return the summary of a run.

    :param requests: in the order of arrival.
    :param rates: customers with their rate and burst, by name.

    >>> summarize((), {}).requests
    0
    """
    customers = group_requests(requests, lambda ended: ended.customer)
    return Summary(
        requests=len(requests),
        customers=tuple(
            _summarize_customer(name, customers[name], rates.get(name))
            for name in sorted(customers)
        ),
        routes=_group_latencies(requests, lambda ended: ended.route),
        regions=_group_latencies(requests, lambda ended: ended.region),
    )


def group_requests(
    requests: Iterable[EndedRequest],
    key: Callable[[EndedRequest], str],
) -> Mapping[str, list[EndedRequest]]:
    """Group requests by a label; those without one are left out."""
    groups: defaultdict[str, list[EndedRequest]] = defaultdict(list)
    for ended in requests:
        if key(ended):
            groups[key(ended)].append(ended)
    return groups


def _group_latencies(
    requests: Iterable[EndedRequest],
    key: Callable[[EndedRequest], str],
) -> Mapping[str, Latencies]:
    groups = group_requests(requests, key)
    return {
        label: _collect_latencies(groups[label]) for label in sorted(groups)
    }


def _collect_latencies(requests: Iterable[EndedRequest]) -> Latencies:
    latencies = Latencies()
    for ended in requests:
        if ended.outcome is OutcomeKind.answered:
            latencies.add(ended.duration_ms)
    return latencies


def _summarize_customer(
    name: str,
    requests: Sequence[EndedRequest],
    limits: Customer | None,
) -> CustomerSummary:
    latencies = _collect_latencies(requests)
    outcomes = [ended.outcome for ended in requests]
    return CustomerSummary(
        name=name,
        requests=len(requests),
        answered=outcomes.count(OutcomeKind.answered),
        refused=sum(ended.is_refused for ended in requests),
        wrongful=None
        if limits is None
        else count_refused_within_rate(requests, limits),
        unknown=outcomes.count(OutcomeKind.unknown),
        median_ms=latencies.find_quantile(_MEDIAN_QUANTILE),
        tail_ms=latencies.find_quantile(_TAIL_QUANTILE),
    )
