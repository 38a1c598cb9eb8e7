"""Each promise broken once: the checks find it, and nothing else."""

from collections.abc import Callable

import pytest

from crocusshunt.soak import (
    Call,
    Change,
    ChangeKind,
    Disturbance,
    Ending,
    Records,
    Run,
    Terms,
    find_violations,
)

_TERMS = Terms(limited='bank', rate=1, burst=1, recovered_from=100)
_KEYS = {'k1': 'court', 'k2': 'bank'}

Break = Callable[[Records], None]


def _call(number: int, at: float, **changes: object) -> Call:
    call = Call(
        request_id=f'c{number}',
        host='h1',
        key='k1',
        is_idempotent=False,
        sent_at=at,
        ended_at=at + 0.1,
        ending=Ending.answered,
        status=200,
    )
    for name, changed in changes.items():
        setattr(call, name, changed)
    return call


def _run(number: int, at: float, **changes: object) -> Run:
    fields = {
        'request_id': f'c{number}',
        'server': 's1',
        'pool': 'p1',
        'at': at,
        'customer': 'court',
        'shows_key': False,
    }
    return Run(**{**fields, **changes})  # type: ignore[arg-type]


def _calm() -> Records:
    """Return what is seen where nothing goes wrong."""
    records = Records(keys=dict(_KEYS))
    for number in range(120):
        records.calls.append(_call(number, float(number)))
        records.runs.append(_run(number, number + 0.01))
    return records


def _run_twice(records: Records) -> None:
    records.runs.append(_run(5, 5.1))


def _refuse_falsely(records: Records) -> None:
    records.calls[5].ending = Ending.refused


def _mix_answers(records: Records) -> None:
    records.calls[5].ending = Ending.foreign


def _answer_unasked(records: Records) -> None:
    records.runs.pop(5)


def _show_key(records: Records) -> None:
    records.runs[5] = _run(5, 5.01, shows_key=True)


def _mistake_customer(records: Records) -> None:
    records.runs[5] = _run(5, 5.01, customer='bar-office')


def _exceed_rate(records: Records) -> None:
    for number in range(200, 240):
        records.calls.append(_call(number, 10, key='k2'))
        records.runs.append(_run(number, 10, customer='bank'))


def _ignore_withdrawal(records: Records) -> None:
    records.calls.append(_call(200, 20, key='k3'))
    records.keys['k3'] = 'court'
    records.runs.append(_run(200, 20.01))
    change = Change(ChangeKind.withdrawn_key, 'k3', 10)
    records.changes.append(change)


def _ignore_drain(records: Records) -> None:
    change = Change(ChangeKind.draining_server, 's9', 10)
    records.changes.append(change)
    records.runs[15] = _run(15, 15.01, server='s9')


def _revert(records: Records) -> None:
    records.changes.append(Change(ChangeKind.moved_route, 'p0', 10))
    records.runs[12] = _run(12, 12.01, pool='p0')


def _cut_at_stop(records: Records) -> None:
    stop = Disturbance('stop-host', 'h1', 5, 8, is_planned=True)
    records.disturbances.append(stop)
    records.calls[6].ending = Ending.closed


def _stay_down(records: Records) -> None:
    for call in records.calls[100:]:
        call.ending = Ending.unreachable


def test_nothing_is_found_where_all_is_well() -> None:
    assert not find_violations(_calm(), _TERMS)


@pytest.mark.parametrize(
    ('break_promise', 'promise'),
    [
        (_run_twice, 'at-most-once'),
        (_refuse_falsely, 'true-refusal'),
        (_mix_answers, 'own-whole-answer'),
        (_answer_unasked, 'own-whole-answer'),
        (_show_key, 'keys'),
        (_mistake_customer, 'keys'),
        (_exceed_rate, 'rate'),
        (_ignore_withdrawal, 'changes-in-force'),
        (_ignore_drain, 'changes-in-force'),
        (_revert, 'version-never-reverts'),
        (_cut_at_stop, 'graceful-stop'),
        (_stay_down, 'recovery'),
    ],
)
def test_broken_promise_is_found(break_promise: Break, promise: str) -> None:
    records = _calm()
    break_promise(records)
    found = {one.promise for one in find_violations(records, _TERMS)}
    assert promise in found


def test_disturbed_host_is_not_held_to_bounds() -> None:
    records = _calm()
    _ignore_drain(records)
    records.disturbances.append(Disturbance('pause-host', 'h1', 9, 12))
    assert not find_violations(records, _TERMS)
