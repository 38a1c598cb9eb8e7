"""Check for routes that hosts don't serve in time after they were added."""

from collections.abc import Iterator

from crocusshunt.soak._check_registry import CheckLimits, register_check
from crocusshunt.soak._records import (
    SETTLING_S,
    Call,
    CallOutcome,
    Records,
)
from crocusshunt.soak._server_records import HostCut, PoolRejection, ServerLimit

# Time from the acknowledgement from which every host serves a new route.
IN_FORCE_S = 2.5
_STATUS_NO_ROUTE = 404


@register_check('configuration-in-force')
def _check_added_routes(
    records: Records, _limits: CheckLimits
) -> Iterator[str]:
    """Find calls of a new route that were not served, at sound hosts.

    A narrow link is no excuse.
    """
    for call in records.calls:
        if _is_due(call) and not _is_excused(records, call):
            since_s = call.sent_at - (call.added_at or 0)
            yield (
                f'{call.request_id} at {call.host} for {call.prefix} ended '
                f'with {call.outcome.value} {call.status}, sent '
                f'{since_s:.1f} s after the route was added'
            )


def _is_due(call: Call) -> bool:
    if call.added_at is None or call.outcome is CallOutcome.answered:
        return False
    return call.sent_at >= call.added_at + IN_FORCE_S


def _is_excused(records: Records, call: Call) -> bool:
    """Tell whether a fault may be why a call was not served.

    Servers in trouble are no reason for a host not to know a route.
    """
    start_at = call.sent_at - SETTLING_S
    if not records.is_fault_free(call.host, start_at, call.ended_at):
        return True
    if call.status == _STATUS_NO_ROUTE:
        return False
    spans: list[ServerLimit | HostCut | PoolRejection] = [
        *records.limits,
        *records.cuts,
        *records.rejections,
    ]
    return records.may_relay(call.sent_at, call.ended_at) or any(
        span.start_at <= call.ended_at and span.end_at >= start_at
        for span in spans
    )
