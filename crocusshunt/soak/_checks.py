"""Checks of the guarantees on what callers and backend servers recorded."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from crocusshunt.soak import (  # noqa: F401
    _configuration_checks,
    _notice_checks,
)
from crocusshunt.soak._change_checks import find_late_runs, find_reversals
from crocusshunt.soak._check_registry import (
    CheckLimits,
    list_checks,
    register_check,
)
from crocusshunt.soak._crash_checks import find_repeated_crashes
from crocusshunt.soak._cut_checks import find_idle_hosts
from crocusshunt.soak._given_up_checks import find_late_arrivals
from crocusshunt.soak._limit_checks import find_overruns
from crocusshunt.soak._records import CallOutcome, Records
from crocusshunt.soak._retry_checks import find_excess_repeats
from crocusshunt.soak._servers import CRASH_MARK
from crocusshunt.soak._stop_checks import find_cut_calls

_RATE_WINDOW_S = 5
_RATE_TOLERANCE = 1.1
_RATE_SLACK_REQUESTS = 20
# Requirements on the calls that are sent after all faults have ended.
_MIN_ANSWERED_SHARE = 0.8
_MIN_CALLS_AFTER_FAULTS = 10


@dataclass(frozen=True, slots=True)
class Violation:
    """A guarantee that was broken.

    :param promise: name of the guarantee.
    :param detail: what was seen.
    """

    promise: str
    detail: str


def find_violations(records: Records, limits: CheckLimits) -> list[Violation]:
    """Return all violations of all guarantees."""
    return [
        Violation(name, detail)
        for name, check in list_checks()
        for detail in check(records, limits)
    ]


@register_check('at-most-once')
def _check_runs(records: Records, _limits: CheckLimits) -> Iterator[str]:
    runs = Counter(run.request_id for run in records.runs)
    for call in records.calls:
        if not call.is_idempotent and runs[call.request_id] > 1:
            yield f'{call.request_id} ran {runs[call.request_id]} times'


@register_check('true-refusal')
def _check_refusals(records: Records, _limits: CheckLimits) -> Iterator[str]:
    ran = {run.request_id for run in records.runs}
    for call in records.calls:
        ran_anyway = (
            call.outcome is CallOutcome.refused and call.request_id in ran
        )
        if ran_anyway and not call.is_idempotent:
            yield f'{call.request_id} got {call.status} and ran'
        if call.outcome is CallOutcome.unread and call.request_id in ran:
            yield f'{call.request_id} stood behind a closing answer and ran'


@register_check('own-whole-answer')
def _check_answers(records: Records, _limits: CheckLimits) -> Iterator[str]:
    ran = {run.request_id for run in records.runs}
    for call in records.calls:
        if call.outcome in {CallOutcome.mismatched, CallOutcome.truncated}:
            yield f'{call.request_id} at {call.host}: {call.outcome.value}'
        if call.outcome is CallOutcome.answered and call.request_id not in ran:
            yield f'{call.request_id} was answered, but no server ran it'


@register_check('keys')
def _check_keys(records: Records, _limits: CheckLimits) -> Iterator[str]:
    keys = {call.request_id: call.key for call in records.calls}
    for run in records.runs:
        if run.exposes_key:
            yield f'{run.server} saw the key of {run.request_id}'
        customer = records.customers_by_key.get(keys.get(run.request_id, ''))
        if run.customer != customer:
            yield f'{run.request_id} ran for {run.customer}, not {customer}'


@register_check('rate')
def _check_rate(records: Records, limits: CheckLimits) -> Iterator[str]:
    limit = (limits.rate * _RATE_WINDOW_S + limits.burst) * _RATE_TOLERANCE
    times = sorted(
        run.at
        for run in records.runs
        if run.customer == limits.limited_customer
    )
    first = 0
    for last, at in enumerate(times):
        while times[first] < at - _RATE_WINDOW_S:
            first += 1
        if last - first + 1 > limit + _RATE_SLACK_REQUESTS:
            yield f'{last - first + 1} requests in 5 s, at most {limit:.0f}'
            return


@register_check('server-limit')
def _check_server_limits(
    records: Records, _limits: CheckLimits
) -> Iterator[str]:
    yield from find_overruns(records)


@register_check('retry-limit')
def _check_retries(records: Records, _limits: CheckLimits) -> Iterator[str]:
    yield from find_excess_repeats(records)


@register_check('given-up')
def _check_given_up(records: Records, _limits: CheckLimits) -> Iterator[str]:
    yield from find_late_arrivals(records)


@register_check('crashing-requests')
def _check_crashes(records: Records, _limits: CheckLimits) -> Iterator[str]:
    yield from find_repeated_crashes(records)


@register_check('cut-hosts')
def _check_cut_hosts(records: Records, limits: CheckLimits) -> Iterator[str]:
    yield from find_idle_hosts(records, limits.limited_customer)


@register_check('changes-in-force')
def _check_changes(records: Records, _limits: CheckLimits) -> Iterator[str]:
    yield from find_late_runs(records)


@register_check('version-never-reverts')
def _check_versions(records: Records, _limits: CheckLimits) -> Iterator[str]:
    yield from find_reversals(records)


@register_check('graceful-stop')
def _check_stops(records: Records, _limits: CheckLimits) -> Iterator[str]:
    yield from find_cut_calls(records)


@register_check('recovery')
def _check_recovery(records: Records, limits: CheckLimits) -> Iterator[str]:
    calls = [
        call
        for call in records.calls
        if call.sent_at >= limits.recovery_from
        and records.customers_by_key.get(call.key)
        not in {None, limits.limited_customer}
        and not records.is_withdrawn(call.key)
        and CRASH_MARK not in call.path
    ]
    served = sum(call.outcome is CallOutcome.answered for call in calls)
    if len(calls) < _MIN_CALLS_AFTER_FAULTS:
        yield f'only {len(calls)} calls after the faults'
    elif served < _MIN_ANSWERED_SHARE * len(calls):
        outcomes = Counter(call.outcome.value for call in calls)
        yield f'{served} of {len(calls)} served after the faults: {outcomes}'
