"""Records in which one guarantee is broken: its check must find that."""

from collections.abc import Callable

import pytest

from crocusshunt.soak import (
    Arrival,
    Call,
    CallOutcome,
    Change,
    ChangeKind,
    CheckLimits,
    FaultInterval,
    HostCut,
    Records,
    Run,
    ServerLimit,
    ServerNotice,
    find_violations,
)

_LIMITS = CheckLimits(
    limited_customer='bank', rate=1, burst=1, recovery_from=100
)
_KEYS = {'k1': 'court', 'k2': 'bank'}

Corruption = Callable[[Records], None]


def _make_call(number: int, at: float, **changes: object) -> Call:
    call = Call(
        request_id=f'c{number}',
        host='h1',
        key='k1',
        is_idempotent=False,
        sent_at=at,
        ended_at=at + 0.1,
        outcome=CallOutcome.answered,
        status=200,
    )
    for name, new in changes.items():
        setattr(call, name, new)
    return call


def _make_run(number: int, at: float, **changes: object) -> Run:
    fields = {
        'request_id': f'c{number}',
        'server': 's1',
        'pool': 'p1',
        'at': at,
        'customer': 'court',
        'exposes_key': False,
    }
    return Run(**{**fields, **changes})  # type: ignore[arg-type]


def _make_clean_records() -> Records:
    """Return records in which every guarantee is kept."""
    records = Records(customers_by_key=dict(_KEYS))
    for number in range(120):
        records.calls.append(_make_call(number, float(number)))
        records.runs.append(_make_run(number, number + 0.01))
    return records


def _run_twice(records: Records) -> None:
    records.runs.append(_make_run(5, 5.1))


def _refuse_falsely(records: Records) -> None:
    records.calls[5].outcome = CallOutcome.refused


def _run_unread(records: Records) -> None:
    records.calls[5].outcome = CallOutcome.unread


def _answer_with_another(records: Records) -> None:
    records.calls[5].outcome = CallOutcome.mismatched


def _answer_without_run(records: Records) -> None:
    records.runs.pop(5)


def _expose_key(records: Records) -> None:
    records.runs[5] = _make_run(5, 5.01, exposes_key=True)


def _use_wrong_customer(records: Records) -> None:
    records.runs[5] = _make_run(5, 5.01, customer='bar-office')


def _exceed_rate(records: Records) -> None:
    for number in range(200, 240):
        records.calls.append(_make_call(number, 10, key='k2'))
        records.runs.append(_make_run(number, 10, customer='bank'))


def _ignore_withdrawal(records: Records) -> None:
    records.calls.append(_make_call(200, 20, key='k3'))
    records.customers_by_key['k3'] = 'court'
    records.runs.append(_make_run(200, 20.01))
    change = Change(ChangeKind.withdrawn_key, 'k3', 10)
    records.changes.append(change)


def _ignore_drain(records: Records) -> None:
    change = Change(ChangeKind.draining_server, 's9', 10)
    records.changes.append(change)
    records.runs[15] = _make_run(15, 15.01, server='s9')


def _revert_version(records: Records) -> None:
    records.changes.append(Change(ChangeKind.moved_route, 'p0', 10))
    records.runs[12] = _make_run(12, 12.01, pool='p0')


def _exceed_server_limit(records: Records) -> None:
    records.limits.append(ServerLimit('s1', 0.5, 10, 60))
    for number in range(200, 220):
        records.calls.append(_make_call(number, 30))
        records.runs.append(_make_run(number, 30.01))


def _send_crashing_request_on(records: Records) -> None:
    for number in range(200, 207):
        at = float(number - 190)
        records.calls.append(_make_call(number, at, is_idempotent=True))
        records.runs.append(_make_run(number, at, crash_path='/read/crash-1'))
    # The first three crashed at 10 to 12 s; the others are sent from 16.5 s.
    for call in records.calls[-4:]:
        call.sent_at += 4


def _idle_while_cut_off(records: Records) -> None:
    records.cuts.append(HostCut('h2', 10, 40))
    for number in range(200, 212):
        call = _make_call(number, 20, host='h2', outcome=CallOutcome.refused)
        records.calls.append(call)


def _cut_call_at_stop(records: Records) -> None:
    stop = FaultInterval('stop-host', 'h1', 5, 8, is_planned=True)
    records.fault_intervals.append(stop)
    records.calls[6].outcome = CallOutcome.closed


def _ignore_backoff(records: Records) -> None:
    records.notices.append(ServerNotice('s1', 1, 'c0', 1, 4))
    for number in range(1, 4):
        records.arrivals.append(Arrival('s1', 1, f'c{number}', 2))


def _repeat_at_servers(records: Records) -> None:
    for number in range(20):
        at = number + 0.02
        records.arrivals.append(Arrival('s1', 1, f'c{number}', at, 'p1'))
    for number in range(15):
        repeat = Arrival('s2', 1, f'c{number}', 20.5, 'p1')
        records.arrivals.append(repeat)
        records.calls[number].ended_at = 20.6


def _arrive_late(records: Records) -> None:
    records.arrivals.append(Arrival('s1', 1, 'c5', 5.7))


def _ignore_draining(records: Records) -> None:
    records.notices.append(ServerNotice('s1', 1, 'c0', 0, float('inf')))
    records.arrivals.append(Arrival('s1', 1, 'c90', 90))


def _stay_unreachable(records: Records) -> None:
    for call in records.calls[100:]:
        call.outcome = CallOutcome.unreachable


def _call_added_route(records: Records, **changes: object) -> None:
    call = _make_call(
        200, 12.6, outcome=CallOutcome.failed, status=404, added_at=10
    )
    for name, new in changes.items():
        setattr(call, name, new)
    records.calls.append(call)


def _refuse_added_route(records: Records) -> None:
    outcome = CallOutcome.refused
    _call_added_route(records, outcome=outcome, status=503)


def test_no_violation_in_clean_records() -> None:
    assert not find_violations(_make_clean_records(), _LIMITS)


@pytest.mark.parametrize(
    ('corrupt', 'promise'),
    [
        (_run_twice, 'at-most-once'),
        (_refuse_falsely, 'true-refusal'),
        (_run_unread, 'true-refusal'),
        (_answer_with_another, 'own-whole-answer'),
        (_answer_without_run, 'own-whole-answer'),
        (_expose_key, 'keys'),
        (_use_wrong_customer, 'keys'),
        (_exceed_rate, 'rate'),
        (_exceed_server_limit, 'server-limit'),
        (_ignore_backoff, 'server-backoff'),
        (_repeat_at_servers, 'retry-limit'),
        (_arrive_late, 'given-up'),
        (_ignore_draining, 'server-draining'),
        (_send_crashing_request_on, 'crashing-requests'),
        (_idle_while_cut_off, 'cut-hosts'),
        (_ignore_withdrawal, 'changes-in-force'),
        (_ignore_drain, 'changes-in-force'),
        (_revert_version, 'version-never-reverts'),
        (_call_added_route, 'configuration-in-force'),
        (_refuse_added_route, 'configuration-in-force'),
        (_cut_call_at_stop, 'graceful-stop'),
        (_stay_unreachable, 'recovery'),
    ],
)
def test_broken_guarantee_is_found(corrupt: Corruption, promise: str) -> None:
    records = _make_clean_records()
    corrupt(records)
    found = {
        violation.promise for violation in find_violations(records, _LIMITS)
    }
    assert promise in found


def test_calls_with_withdrawn_keys_are_no_sign_of_an_idle_host() -> None:
    """Seed 54307: half of all calls had them, which a few calls showed."""
    records = _make_clean_records()
    _idle_while_cut_off(records)
    for call in records.calls[-12:]:
        call.key = 'k3'
    records.customers_by_key['k3'] = 'court'
    records.changes.append(Change(ChangeKind.withdrawn_key, 'k3', 10))
    assert not find_violations(records, _LIMITS)


def test_impaired_link_may_hold_a_request_until_it_is_back() -> None:
    """A host can't take back what is on its way there."""
    records = _make_clean_records()
    _arrive_late(records)
    records.fault_intervals.append(
        FaultInterval('server-link-delay', '', 5, 5.4)
    )
    assert not find_violations(records, _LIMITS)


def test_host_with_fault_is_exempt_from_time_limits() -> None:
    records = _make_clean_records()
    _ignore_drain(records)
    records.fault_intervals.append(FaultInterval('pause-host', 'h1', 9, 12))
    assert not find_violations(records, _LIMITS)


@pytest.mark.parametrize(
    ('host', 'added_at', 'is_found'),
    [('h1', 10, False), ('h2', 10, True), ('h2', 10.2, False)],
)
def test_added_route_is_served_in_time_at_sound_hosts(
    host: str, added_at: float, *, is_found: bool
) -> None:
    records = _make_clean_records()
    _call_added_route(records, added_at=added_at)
    records.fault_intervals.append(FaultInterval('pause-host', host, 9, 12))
    assert bool(find_violations(records, _LIMITS)) == is_found


def test_servers_in_trouble_excuse_refusals_only() -> None:
    records = _make_clean_records()
    records.cuts.append(HostCut('h9', 10, 20))
    _refuse_added_route(records)
    assert not find_violations(records, _LIMITS)
    _call_added_route(records)
    assert find_violations(records, _LIMITS)


def test_requests_that_crash_servers_need_not_be_served() -> None:
    records = _make_clean_records()
    for number in range(200, 230):
        call = _make_call(
            number, 110, path='crash-1', outcome=CallOutcome.refused
        )
        records.calls.append(call)
    assert not find_violations(records, _LIMITS)


def test_servers_limit_binds_only_hosts_that_it_told() -> None:
    records = _make_clean_records()
    _exceed_server_limit(records)
    for call in records.calls[120:]:
        call.host = f'h{call.request_id}'
    assert not find_violations(records, _LIMITS)


def test_repeats_within_the_retry_limit_are_allowed() -> None:
    records = _make_clean_records()
    _repeat_at_servers(records)
    records.arrivals = records.arrivals[:-2]
    assert not find_violations(records, _LIMITS)
