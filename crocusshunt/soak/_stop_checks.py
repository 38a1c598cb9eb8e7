"""Check for calls that a planned stop of their host cut."""

from collections.abc import Iterator

from crocusshunt.soak._records import SETTLING_S, Call, CallOutcome, Records


def find_cut_calls(records: Records) -> Iterator[str]:
    """Find calls that ran and were cut while only a planned stop went on."""
    ran = {run.request_id for run in records.runs}
    closed_calls = [
        call
        for call in records.calls
        if call.outcome is CallOutcome.closed and call.request_id in ran
    ]
    for call in closed_calls:
        if _is_stopping(records, call) and _has_only_planned_faults(
            records, call
        ):
            yield f'{call.request_id} was cut by the stop of {call.host}'


def _is_stopping(records: Records, call: Call) -> bool:
    return any(
        stop.is_planned
        and stop.host == call.host
        and stop.start_at <= call.ended_at <= stop.end_at
        for stop in records.fault_intervals
    )


def _has_only_planned_faults(records: Records, call: Call) -> bool:
    """Tell whether no fault but planned stops could affect a call."""
    return not any(
        fault.host in {'', call.host}
        and not fault.is_planned
        and fault.start_at <= call.ended_at
        and fault.end_at >= call.sent_at - SETTLING_S
        for fault in records.fault_intervals
    )
