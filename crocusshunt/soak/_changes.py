"""Runs that a change of the configuration or the servers forbids."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from crocusshunt.soak._records import (
    TOUCH_S,
    Call,
    Change,
    ChangeKind,
    Records,
    Run,
)

# From the acknowledgement of a change until no host may act against it.
_APPLY_S = 3
# A host may finish what it had admitted before.
_SETTLE_S = 0.5


@dataclass(frozen=True, slots=True)
class _Served:
    """A run with the call that it belongs to."""

    call: Call
    run: Run

    def is_against(self, change: Change) -> bool:
        """Tell whether a change forbade this run, and its bound had passed."""
        touched = {self.run.server, self.run.pool, self.call.key}
        if change.subject not in touched:
            return False
        at = self.call.sent_at
        if change.kind is ChangeKind.draining_server:
            at = self.run.at
        return at > change.at + _APPLY_S


def find_late_runs(records: Records) -> Iterator[str]:
    """Find runs that a change forbade, by hosts that were in touch."""
    served = _join_calls(records)
    for change in records.changes:
        late = [one for one in served if one.is_against(change)]
        for one in late:
            call, run = one.call, one.run
            if records.is_calm(call.host, call.sent_at - TOUCH_S, run.at):
                yield (
                    f'{call.request_id} at {call.host} ran at {run.server} '
                    f'{run.at - change.at:.1f} s after {change.kind.value}'
                )


def find_reversals(records: Records) -> Iterator[str]:
    """Find runs at a pool that their host had left for a newer version."""
    by_host: dict[str, list[_Served]] = defaultdict(list)
    for one in _join_calls(records):
        by_host[one.call.host].append(one)
    for change in records.changes:
        if change.kind is ChangeKind.moved_route:
            for host, served in sorted(by_host.items()):
                yield from _find_returns(records, change, host, served)


def _find_returns(
    records: Records,
    change: Change,
    host: str,
    served: list[_Served],
) -> Iterator[str]:
    old = change.subject
    others = (
        one.run.at
        for one in served
        if one.run.pool != old and one.run.at > change.at
    )
    left_at = min(others, default=float('inf'))
    for one in served:
        is_return = one.call.sent_at > left_at + _SETTLE_S
        if one.run.pool != old or not is_return:
            continue
        if records.is_calm(host, left_at, one.run.at):
            yield f'{host} sent {one.call.request_id} to {old} again'


def _join_calls(records: Records) -> list[_Served]:
    calls = {call.request_id: call for call in records.calls}
    return [
        _Served(calls[run.request_id], run)
        for run in records.runs
        if run.request_id in calls
    ]
