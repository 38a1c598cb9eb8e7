"""Promises, checked from what callers and backend servers saw."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from crocusshunt.soak._changes import find_late_runs, find_reversals
from crocusshunt.soak._records import (
    TOUCH_S,
    Call,
    ChangeKind,
    Ending,
    Records,
)

_RATE_WINDOW_S = 5
_RATE_EXCESS = 1.1
_RATE_SLACK = 20
# Of the calls after all faults have ended.
_LEAST_RECOVERED = 0.8
_LEAST_PROBES = 10


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken."""

    promise: str
    detail: str


@dataclass(frozen=True, slots=True)
class Terms:
    """What the checks hold the hosts to.

    :param rate: of the limited customer, in requests a second.
    :param burst: its requests at once.
    :param recovered_from: moment from which calls must be served again.
    """

    limited: str
    rate: float
    burst: float
    recovered_from: float


Check = Callable[[Records, Terms], Iterator[str]]
_CHECKS: dict[str, Check] = {}


def promise(name: str) -> Callable[[Check], Check]:
    """Register a check under the name of its promise."""

    def register(check: Check) -> Check:
        _CHECKS[name] = check
        return check

    return register


def find_violations(records: Records, terms: Terms) -> list[Violation]:
    """Return every broken promise."""
    return [
        Violation(name, detail)
        for name, check in sorted(_CHECKS.items())
        for detail in check(records, terms)
    ]


@promise('at-most-once')
def _check_runs(records: Records, _terms: Terms) -> Iterator[str]:
    runs = Counter(run.request_id for run in records.runs)
    for call in records.calls:
        if not call.is_idempotent and runs[call.request_id] > 1:
            yield f'{call.request_id} ran {runs[call.request_id]} times'


@promise('true-refusal')
def _check_refusals(records: Records, _terms: Terms) -> Iterator[str]:
    ran = {run.request_id for run in records.runs}
    for call in records.calls:
        is_wrong = call.ending is Ending.refused and call.request_id in ran
        if is_wrong and not call.is_idempotent:
            yield f'{call.request_id} got {call.status} and ran'


@promise('own-whole-answer')
def _check_answers(records: Records, _terms: Terms) -> Iterator[str]:
    ran = {run.request_id for run in records.runs}
    for call in records.calls:
        if call.ending in {Ending.foreign, Ending.short}:
            yield f'{call.request_id} at {call.host}: {call.ending.value}'
        if call.ending is Ending.answered and call.request_id not in ran:
            yield f'{call.request_id} was answered without a run'


@promise('keys')
def _check_keys(records: Records, _terms: Terms) -> Iterator[str]:
    keys = {call.request_id: call.key for call in records.calls}
    for run in records.runs:
        if run.shows_key:
            yield f'{run.server} saw the key of {run.request_id}'
        holder = records.keys.get(keys.get(run.request_id, ''))
        if run.customer != holder:
            yield f'{run.request_id} ran for {run.customer}, not {holder}'


@promise('rate')
def _check_rate(records: Records, terms: Terms) -> Iterator[str]:
    most = (terms.rate * _RATE_WINDOW_S + terms.burst) * _RATE_EXCESS
    times = sorted(
        run.at for run in records.runs if run.customer == terms.limited
    )
    first = 0
    for last, at in enumerate(times):
        while times[first] < at - _RATE_WINDOW_S:
            first += 1
        if last - first + 1 > most + _RATE_SLACK:
            yield f'{last - first + 1} requests in 5 s, at most {most:.0f}'
            return


@promise('changes-in-force')
def _check_changes(records: Records, _terms: Terms) -> Iterator[str]:
    yield from find_late_runs(records)


@promise('version-never-reverts')
def _check_versions(records: Records, _terms: Terms) -> Iterator[str]:
    yield from find_reversals(records)


@promise('graceful-stop')
def _check_stops(records: Records, _terms: Terms) -> Iterator[str]:
    ran = {run.request_id for run in records.runs}
    cut = [
        call
        for call in records.calls
        if call.ending is Ending.closed and call.request_id in ran
    ]
    for call in cut:
        if _is_stopping(records, call) and _is_undisturbed(records, call):
            yield f'{call.request_id} was cut by the stop of {call.host}'


@promise('recovery')
def _check_recovery(records: Records, terms: Terms) -> Iterator[str]:
    late = [
        call
        for call in records.calls
        if call.sent_at >= terms.recovered_from
        and records.keys.get(call.key) not in {None, terms.limited}
        and not _is_withdrawn(records, call.key)
    ]
    served = sum(call.ending is Ending.answered for call in late)
    if len(late) < _LEAST_PROBES:
        yield f'only {len(late)} calls after the faults'
    elif served < _LEAST_RECOVERED * len(late):
        endings = Counter(call.ending.value for call in late)
        yield f'{served} of {len(late)} served after the faults: {endings}'


def _is_withdrawn(records: Records, key: str) -> bool:
    return any(
        change.kind is ChangeKind.withdrawn_key and change.subject == key
        for change in records.changes
    )


def _is_stopping(records: Records, call: Call) -> bool:
    return any(
        stop.is_planned
        and stop.host == call.host
        and stop.start_at <= call.ended_at <= stop.end_at
        for stop in records.disturbances
    )


def _is_undisturbed(records: Records, call: Call) -> bool:
    """Tell whether only planned stops touched a call."""
    return not any(
        one.host in {'', call.host}
        and not one.is_planned
        and one.start_at <= call.ended_at
        and one.end_at >= call.sent_at - TOUCH_S
        for one in records.disturbances
    )
