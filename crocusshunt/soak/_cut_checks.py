"""Check for hosts that serve few callers while they reach no server."""

from collections.abc import Iterator

from crocusshunt.soak._records import SETTLING_S, Call, CallOutcome, Records
from crocusshunt.soak._server_records import HostCut

# Such a host must serve its callers this often, compared with the others.
_MIN_SHARE = 2 / 3
# So many calls may fail there all the same.
_MAX_FAILED_COUNT = 10
_MAX_FAILED_SHARE = 0.02


def find_idle_hosts(records: Records, limited_customer: str) -> Iterator[str]:
    """Find hosts that served clearly less than others while cut off.

    Calls of a limited customer or with a key that was withdrawn, and hosts
    that a fault disturbed, are not counted.
    """
    for cut in records.cuts:
        calls = [
            call
            for call in records.calls
            if _is_counted(records, call, cut)
            and records.customers_by_key.get(call.key) != limited_customer
        ]
        here = [call for call in calls if call.host == cut.host]
        others = [call for call in calls if not _is_cut(records, call)]
        failed = len(here) - _count_served(here)
        if not others or failed <= _MAX_FAILED_COUNT + _MAX_FAILED_SHARE * len(
            here
        ):
            continue
        share = _count_served(here) / len(here)
        usual = _count_served(others) / len(others)
        if share < _MIN_SHARE * usual:
            yield (
                f'{cut.host} served {share:.2f} of {len(here)} calls while '
                f'cut off, others {usual:.2f}'
            )


def _is_counted(records: Records, call: Call, cut: HostCut) -> bool:
    if not cut.start_at + SETTLING_S <= call.sent_at <= cut.end_at:
        return False
    if records.is_rejected(call.sent_at) or records.is_withdrawn(call.key):
        return False
    return records.is_fault_free(
        call.host, call.sent_at - SETTLING_S, call.ended_at
    )


def _is_cut(records: Records, call: Call) -> bool:
    return any(
        cut.host == call.host and cut.start_at <= call.sent_at <= cut.end_at
        for cut in records.cuts
    )


def _count_served(calls: list[Call]) -> int:
    return sum(call.outcome is CallOutcome.answered for call in calls)
