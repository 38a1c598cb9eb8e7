"""Addresses of hosts that callers are directed to."""

from collections.abc import Iterable
from dataclasses import dataclass

from crocusshunt.fleet._host_records import HostRecord
from crocusshunt.fleet._view import FleetView

# With a single address, a caller could send nothing after a failure of that
# host until its next look-up.
_MIN_ADDRESS_COUNT = 2


@dataclass(frozen=True, slots=True)
class OwnState:
    """State of the host that answers a look-up.

    :param is_ready: whether it accepts requests.
    :param is_cut_off: whether it reaches no backend server.
    """

    is_ready: bool
    is_cut_off: bool = False


def find_front_addresses(
    view: FleetView,
    own: OwnState,
    failure_domain: str,
    region: str,
    now: float,
) -> tuple[str, ...]:
    """Return the addresses to which a caller should connect.

    These are the ready hosts of the caller's failure domain if there are two
    or more, else those of its region, else those of this host's region, else
    all ready hosts. Hosts that are cut off from all backend servers are left
    out as long as there are others.

    :param failure_domain: failure domain of the caller.
    :param region: region of the caller.
    :param now: monotonic seconds.

    >>> from crocusshunt.fleet._view import FleetSettings
    >>> own = HostRecord('h1', '10.0.0.1', 7600, '10.0.0.1:80', 'a1', 'a')
    >>> view = FleetView(own, FleetSettings())
    >>> find_front_addresses(view, OwnState(is_ready=True), 'a1', 'a', now=0)
    ('10.0.0.1:80',)
    """
    ready = _list_serving(view, own, now)
    domain_hosts = [
        one for one in ready if one.failure_domain == failure_domain
    ]
    if len(domain_hosts) >= _MIN_ADDRESS_COUNT:
        return _list_addresses(domain_hosts)
    for preferred_region in (region, view.own.region):
        region_hosts = [one for one in ready if one.region == preferred_region]
        if region_hosts:
            return _list_addresses(region_hosts)
    return _list_addresses(ready)


def _list_serving(
    view: FleetView, own: OwnState, now: float
) -> list[HostRecord]:
    """Return the ready hosts that reach servers, all ready ones if none do."""
    reaching = [
        one.record for one in view.list_live(now) if one.reaches_servers
    ]
    if own.is_ready and not own.is_cut_off:
        reaching.append(view.own)
    if reaching:
        return reaching
    return [*view.list_ready(now), *([view.own] if own.is_ready else [])]


def _list_addresses(records: Iterable[HostRecord]) -> tuple[str, ...]:
    return tuple(sorted(record.front_address for record in records))
