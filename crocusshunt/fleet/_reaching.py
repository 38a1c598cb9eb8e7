"""Hosts that reach backend servers."""

from crocusshunt.fleet._host_records import HostRecord
from crocusshunt.fleet._view import FleetView

# Hosts of a region that a summary names, so that it stays small.
_MAX_RELAY_COUNT = 8


def list_reaching(view: FleetView, pool: str, now: float) -> list[HostRecord]:
    """Return ready other hosts of the region that reach servers of a pool.

    :param pool: name of a pool, empty for any.
    :param now: monotonic seconds.
    """
    return [
        peer.record
        for peer in view.list_live(now)
        if peer.reaches_servers and pool not in peer.lost_pools
    ]


def list_relays(
    view: FleetView, now: float, *, may_relay: bool
) -> tuple[str, ...]:
    """Return names of hosts that other regions may pass requests on to.

    :param now: monotonic seconds.
    :param may_relay: whether this host is ready and reaches servers itself.
    """
    names = [one.name for one in list_reaching(view, '', now)]
    if may_relay:
        names.append(view.own.name)
    return tuple(names[:_MAX_RELAY_COUNT])


def _list_reaching_elsewhere(
    view: FleetView, pool: str, now: float
) -> list[HostRecord]:
    """Return hosts of other regions that reach servers of a pool.

    :param now: monotonic seconds.
    """
    return [
        view.peers[name].record
        for summary in view.list_summaries(now)
        for name in summary.relays
        if name in view.peers and pool not in summary.lost_pools
    ]


def choose_relays(
    view: FleetView,
    pool: str,
    allowed_regions: frozenset[str] | None,
    turn: int,
    now: float,
) -> list[HostRecord]:
    """Return the hosts that a request may be passed on to, best first.

    These are hosts of the region that reach servers of the pool, else hosts of
    other regions; each turn begins with the next of them.

    :param allowed_regions: the only regions that may serve the request, None
        for all.
    :param turn: number of the choice.
    :param now: monotonic seconds.
    """
    for hosts in (
        list_reaching(view, pool, now),
        _list_reaching_elsewhere(view, pool, now),
    ):
        allowed = [
            one
            for one in hosts
            if allowed_regions is None or one.region in allowed_regions
        ]
        if allowed:
            first = turn % len(allowed)
            return allowed[first:] + allowed[:first]
    return []
