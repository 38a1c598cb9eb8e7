"""Hosts that reach backend servers."""

from crocusshunt.fleet._messages import HostRecord
from crocusshunt.fleet._view import FleetView


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


def list_reaching_elsewhere(
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
