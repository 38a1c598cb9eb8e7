"""Figures of a run, from its ended requests."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from crocusshunt.metrics import (
    EndedRequest,
    Latencies,
    OutcomeKind,
    parse_request,
)
from crocusshunt.reports._bucket import count_wrongful
from crocusshunt.routing import Customer

_MEDIAN = 0.5
_TAIL = 0.99


@dataclass(frozen=True, slots=True)
class CustomerSummary:
    """How one customer fared.

    :param refused: refusals for reasons that are not the customer's own.
    :param wrongful: refusals although within rate and burst, None if the
        customer's rate is not known.
    :param unknown: requests of unknown outcome.
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
        """Return the share of requests answered, from 0 to 1."""
        return self.answered / self.requests


@dataclass(frozen=True, slots=True)
class Summary:
    """Figures of a run.

    :param routes: latencies of answered requests by route.
    :param regions: the same by region.
    """

    requests: int
    customers: tuple[CustomerSummary, ...]
    routes: Mapping[str, Latencies]
    regions: Mapping[str, Latencies]

    @property
    def worst_served(self) -> CustomerSummary | None:
        """Return the customer with the least share answered."""
        return min(
            self.customers,
            key=lambda customer: (customer.answered_share, customer.name),
            default=None,
        )


def read_requests(lines: Iterable[str]) -> tuple[EndedRequest, ...]:
    """Return the ended requests of log lines, in the order of arrival."""
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
    """Return the figures of a run.

    :param requests: in the order of arrival.
    :param rates: customers' limits by name.

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
        routes=_measure(requests, lambda ended: ended.route),
        regions=_measure(requests, lambda ended: ended.region),
    )


def group_requests(
    requests: Iterable[EndedRequest],
    key: Callable[[EndedRequest], str],
) -> Mapping[str, list[EndedRequest]]:
    """Return requests by a label; those without one are left out."""
    groups: defaultdict[str, list[EndedRequest]] = defaultdict(list)
    for ended in requests:
        if key(ended):
            groups[key(ended)].append(ended)
    return groups


def _measure(
    requests: Iterable[EndedRequest],
    key: Callable[[EndedRequest], str],
) -> Mapping[str, Latencies]:
    groups = group_requests(requests, key)
    return {label: _add_up(groups[label]) for label in sorted(groups)}


def _add_up(requests: Iterable[EndedRequest]) -> Latencies:
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
    latencies = _add_up(requests)
    outcomes = [ended.outcome for ended in requests]
    return CustomerSummary(
        name=name,
        requests=len(requests),
        answered=outcomes.count(OutcomeKind.answered),
        refused=sum(ended.is_refused for ended in requests),
        wrongful=None if limits is None else count_wrongful(requests, limits),
        unknown=outcomes.count(OutcomeKind.unknown),
        median_ms=latencies.find_quantile(_MEDIAN),
        tail_ms=latencies.find_quantile(_TAIL),
    )
