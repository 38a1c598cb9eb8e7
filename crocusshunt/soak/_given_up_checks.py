"""Check for requests that reach servers after their callers had given up."""

from collections.abc import Iterator

from crocusshunt.soak._records import Call, Records
from crocusshunt.soak._server_records import Arrival

_MAX_LATENESS_S = 0.5


def find_late_arrivals(records: Records) -> Iterator[str]:
    """Find requests that reached a server after their call had ended.

    What a link to a server held while it was impaired may arrive after that.
    """
    calls = {call.request_id: call for call in records.calls}
    for arrival in records.arrivals:
        call = calls[arrival.request_id]
        late_s = arrival.at - call.ended_at
        if late_s > _MAX_LATENESS_S and not _is_held(records, call, arrival):
            yield (
                f'{call.request_id} reached {arrival.server} {late_s:.2f} s '
                f'after it ended at {call.host} as {call.outcome.value}'
            )


def _is_held(records: Records, call: Call, arrival: Arrival) -> bool:
    """Tell whether a link was impaired from before a call's end on."""
    return any(
        fault.kind.startswith('server-link')
        and fault.start_at <= call.ended_at
        and fault.end_at >= call.sent_at
        and arrival.at <= fault.end_at + _MAX_LATENESS_S
        for fault in records.fault_intervals
    )
