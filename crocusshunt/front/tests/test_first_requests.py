"""Choice of servers for the first requests of all hosts."""

from collections import Counter
from unittest.mock import Mock

from crocusshunt.catalog import Catalog, CatalogIndex, RouteRule, Target
from crocusshunt.core import ManualClock
from crocusshunt.front._admission import Admission
from crocusshunt.front._eligible_servers import EligibleServers
from crocusshunt.front._heartbeats import HeartbeatLoop
from crocusshunt.front._placement import Placer
from crocusshunt.front._placements import PlacementRequest
from crocusshunt.front.tests._region import Region
from crocusshunt.placement import ChoiceSettings, Locality

_HOSTS = ('a1', 'a2', 'a3', 'a4')
_SLOTS = 4
_POOL = (Target('p'),)
_URGENT = RouteRule('urgent', 'a.example', '/u/', _POOL, priority=0)
_OTHER = RouteRule('other', 'a.example', '/o/', _POOL, priority=1)


def _create_placer(loop: HeartbeatLoop, clock: ManualClock) -> Placer:
    loop.cluster.index = CatalogIndex(Catalog(2, routes=(_URGENT, _OTHER)))
    state = loop.planner.state
    state.localities = {'p': Locality(1)}
    eligible = EligibleServers(loop.cluster, state, clock)
    return Placer(loop.cluster, state, eligible, ChoiceSettings(), clock)


def test_first_requests_of_all_hosts_do_not_fill_a_server_several_times() -> (
    None
):
    """Each host knew its own requests only until the servers answered.

    So each of them filled every server alone, and the servers had up to three
    times what they take in a second.
    """
    region = Region(names=_HOSTS)
    assert isinstance(region.clock, ManualClock)
    loops = [region.start(name) for name in _HOSTS]
    for started in loops:
        started.run_once()
    placers = [_create_placer(one, region.clock) for one in loops]
    sent: Counter[str] = Counter()
    for number in range(100):
        host = number % len(loops)
        admission = Admission(Mock(), _OTHER, None, None, (1, 1), 1)
        request = PlacementRequest(admission, 'p', f'o{number}', 1, 4)
        placement = placers[host].place(request)
        if placement.server is not None:
            name = placement.server.entry.name
            loops[host].planner.state.find_load(name).in_flight += 1
            sent[name] += 1
    most = ChoiceSettings().max_load_per_slot * _SLOTS + len(_HOSTS)
    assert _SLOTS <= sent['s0'] <= most
    assert _SLOTS <= sent['s1'] <= most
