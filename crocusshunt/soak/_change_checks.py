"""Checks for runs that an earlier change of the configuration forbids."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from crocusshunt.soak._records import (
    SETTLING_S,
    Call,
    Change,
    ChangeKind,
    Records,
    Run,
)

# Time from the acknowledgement of a change in which every host must apply it.
_PROPAGATION_S = 3
# A host may finish requests that it had admitted before.
_IN_FLIGHT_S = 0.5


@dataclass(frozen=True, slots=True)
class _CallRun:
    """A run and the call that it belongs to."""

    call: Call
    run: Run

    def is_late(self, change: Change) -> bool:
        """Tell whether a change forbade this run and should have been applied.

        What counts is when the call was sent, or for a draining server when
        the run started.
        """
        subjects = {self.run.server, self.run.pool, self.call.key}
        if change.subject not in subjects:
            return False
        at = self.call.sent_at
        if change.kind is ChangeKind.draining_server:
            at = self.run.at
        return at > change.at + _PROPAGATION_S


def find_late_runs(records: Records) -> Iterator[str]:
    """Find runs that a change forbade, at hosts that no fault disturbed.

    Hosts that a fault disturbed may have missed the change.
    """
    call_runs = _join_calls(records)
    for change in records.changes:
        late_runs = [
            call_run for call_run in call_runs if call_run.is_late(change)
        ]
        for call_run in late_runs:
            call, run = call_run.call, call_run.run
            if records.is_fault_free(
                call.host, call.sent_at - SETTLING_S, run.at
            ):
                yield (
                    f'{call.request_id} at {call.host} ran at {run.server} '
                    f'{run.at - change.at:.1f} s after {change.kind.value}'
                )


def find_reversals(records: Records) -> Iterator[str]:
    """Find hosts that went back to a pool after they had used its successor.

    Such a host has reverted to an older version of the configuration.
    """
    runs_by_host: dict[str, list[_CallRun]] = defaultdict(list)
    for call_run in _join_calls(records):
        runs_by_host[call_run.call.host].append(call_run)
    for change in records.changes:
        if change.kind is ChangeKind.moved_route:
            for host, call_runs in sorted(runs_by_host.items()):
                yield from _find_returns_of_host(
                    records, change, host, call_runs
                )


def _find_returns_of_host(
    records: Records,
    change: Change,
    host: str,
    call_runs: list[_CallRun],
) -> Iterator[str]:
    old_pool = change.subject
    run_times = (
        call_run.run.at
        for call_run in call_runs
        if call_run.run.pool != old_pool and call_run.run.at > change.at
    )
    left_at = min(run_times, default=float('inf'))
    for call_run in call_runs:
        is_sent_after = call_run.call.sent_at > left_at + _IN_FLIGHT_S
        if call_run.run.pool != old_pool or not is_sent_after:
            continue
        if records.is_fault_free(host, left_at, call_run.run.at):
            yield f'{host} sent {call_run.call.request_id} to {old_pool} again'


def _join_calls(records: Records) -> list[_CallRun]:
    calls = {call.request_id: call for call in records.calls}
    return [
        _CallRun(calls[run.request_id], run)
        for run in records.runs
        if run.request_id in calls
    ]
