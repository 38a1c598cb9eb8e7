"""Checks for hosts that ignore what a server told them in a response."""

from collections.abc import Iterator

from crocusshunt.soak._check_registry import CheckLimits, register_check
from crocusshunt.soak._records import Call, CallOutcome, Records
from crocusshunt.soak._server_records import Arrival, ServerNotice

# A host is bound so long after a server asked it to back off.
_TOLD_S = 0.5
_MAX_ARRIVALS = 2
# Requests sent later than this after a host was told must not reach the server.
_DRAIN_S = 2.5


@register_check('server-backoff')
def _check_backoffs(records: Records, _limits: CheckLimits) -> Iterator[str]:
    """Find servers that got requests from hosts that they asked to back off."""
    calls = {call.request_id: call for call in records.calls}
    counts = (
        (notice.server, _count_ignored(records, calls, notice))
        for notice in records.notices
        if not notice.is_draining
    )
    ignored = [one for one in counts if one[1] > _MAX_ARRIVALS]
    for server, count in ignored[:1]:
        yield (
            f'{server} got {count} requests from a host that it had asked to '
            'back off'
        )


def _count_ignored(
    records: Records, calls: dict[str, Call], notice: ServerNotice
) -> int:
    """Count what a server got from a host although it asked it to back off.

    While hosts may pass requests on, their sender is not known.
    """
    told = calls.get(notice.request_id)
    if told is None or records.may_relay(notice.at, notice.until):
        return 0
    told_at = notice.at + _TOLD_S
    later = _list_later(records, calls, notice, told.host)
    return sum(told_at < one.at < notice.until for one in later)


@register_check('server-draining')
def _check_drains(records: Records, _limits: CheckLimits) -> Iterator[str]:
    """Find servers that got requests from hosts that they told they drain."""
    calls = {call.request_id: call for call in records.calls}
    late = [
        f'{notice.server} got {request_id} although it had said it drains'
        for notice in records.notices
        if notice.is_draining
        for request_id in _list_late(records, calls, notice)
    ]
    yield from late[:1]


def _list_late(
    records: Records, calls: dict[str, Call], notice: ServerNotice
) -> list[str]:
    """Return the calls that a draining server got from a host that knew."""
    told = calls.get(notice.request_id)
    if told is None or told.outcome is not CallOutcome.answered:
        return []
    return [
        one.request_id
        for one in _list_later(records, calls, notice, told.host)
        if calls[one.request_id].sent_at > told.ended_at + _DRAIN_S
    ]


def _list_later(
    records: Records,
    calls: dict[str, Call],
    notice: ServerNotice,
    host: str,
) -> list[Arrival]:
    """Return what a server got from a host after a notice.

    Requests that the host may have passed on to another one don't count, nor
    those after a fault of its process or of its way to the servers.
    """
    start = (notice.server, notice.start)
    later = [
        one
        for one in records.arrivals
        if (one.server, one.start) == start and one.at > notice.at
    ]
    return [
        one
        for one in later
        if one.request_id in calls
        and calls[one.request_id].host == host
        and records.has_run(host, notice.at - _DRAIN_S, one.at)
    ]
