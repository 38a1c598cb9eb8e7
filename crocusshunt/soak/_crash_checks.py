"""Check for requests that are sent on although servers crash under them."""

from collections import defaultdict
from collections.abc import Iterator

from crocusshunt.soak._records import SETTLING_S, Call, Records, Run

_CRASH_COUNT = 3
_MAX_LATER_COUNT = 3


def find_repeated_crashes(records: Records) -> Iterator[str]:
    """Find requests that still crash servers long after the third crash.

    Hosts that a fault disturbed are not counted.
    """
    runs_by_path: defaultdict[str, list[Run]] = defaultdict(list)
    for run in sorted(records.runs, key=lambda one: one.at):
        if run.crash_path:
            runs_by_path[run.crash_path].append(run)
    calls = {call.request_id: call for call in records.calls}
    for path, runs in runs_by_path.items():
        if len(runs) < _CRASH_COUNT:
            continue
        settled_at = runs[_CRASH_COUNT - 1].at + SETTLING_S
        later = sum(
            _is_counted(records, calls[one.request_id], one, settled_at)
            for one in runs
        )
        if later > _MAX_LATER_COUNT:
            yield f'{path} crashed {len(runs)} servers, {later} of them late'


def _is_counted(
    records: Records, call: Call, run: Run, settled_at: float
) -> bool:
    if call.sent_at < settled_at:
        return False
    return records.is_fault_free(call.host, call.sent_at - SETTLING_S, run.at)
