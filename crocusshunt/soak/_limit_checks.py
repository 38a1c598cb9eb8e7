"""Check for servers that got more requests than the limit that they named."""

from collections.abc import Iterator

from crocusshunt.soak._records import SETTLING_S, Records
from crocusshunt.soak._server_records import ServerLimit

_WINDOW_S = 4
# How much more than its limit a server may get in a window.
_LIMIT_TOLERANCE = 1.5
_LIMIT_SLACK_REQUESTS = 5
# A host is bound by a limit this long after it got an answer that names it.
_TOLD_S = 0.5


def find_overruns(records: Records) -> Iterator[str]:
    """Find windows in which a server got too much from hosts it had told.

    Hosts that a fault disturbed are not counted.
    """
    for limit in records.limits:
        allowed = limit.rate * _WINDOW_S * _LIMIT_TOLERANCE
        times = _list_counted_runs(records, limit)
        for start_at in times:
            found = sum(start_at <= at < start_at + _WINDOW_S for at in times)
            if found > allowed + _LIMIT_SLACK_REQUESTS:
                yield (
                    f'{limit.server} got {found} requests in {_WINDOW_S} s '
                    f'with a limit of {limit.rate} a second'
                )
                break


def _list_counted_runs(records: Records, limit: ServerLimit) -> list[float]:
    """Return when a server ran requests that count for its limit."""
    calls = {call.request_id: call for call in records.calls}
    told_at: dict[str, float] = {}
    times: list[float] = []
    for run in sorted(records.runs, key=lambda one: one.at):
        call = calls.get(run.request_id)
        is_limited = limit.start_at <= run.at <= limit.end_at
        if call is None or run.server != limit.server or not is_limited:
            continue
        told = told_at.setdefault(call.host, call.ended_at)
        settled_at = max(told + _TOLD_S, limit.start_at + SETTLING_S)
        if run.at > settled_at and records.is_fault_free(
            call.host, call.sent_at - SETTLING_S, run.at
        ):
            times.append(run.at)
    return times
