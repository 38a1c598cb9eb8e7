"""Division of objects between regions when hosts and traffic start."""

from collections.abc import Mapping
from dataclasses import replace
from itertools import pairwise

import pytest

from crocusshunt.catalog import Catalog, CatalogIndex, CustomerRule
from crocusshunt.core import ManualClock
from crocusshunt.front._heartbeats import HeartbeatLoop
from crocusshunt.front._region_loads import RegionLoads
from crocusshunt.front.tests._region import Region
from crocusshunt.placement import (
    Locality,
    RegionLoad,
    ServerEntry,
    rank_servers,
)


def _advance(region: Region, seconds: float) -> float:
    assert isinstance(region.clock, ManualClock)
    region.clock.advance(seconds)
    return region.clock.monotonic()


def _find_locality(loop: HeartbeatLoop) -> Locality:
    return loop.planner.state.localities['p']


def test_plan_made_before_servers_are_known_moves_no_traffic() -> None:
    """A host must not step away from a plan that no request followed.

    The first plan knew servers of the other region only, so nothing was to be
    served here; steps of 0.04 a second kept it so for most of a minute.
    """
    region = Region(names=('a1', 'b1'))
    loop = region.start('a1')
    servers = loop.cluster.servers
    own = [one.entry for one in servers.select('p') if one.region == 'a']
    for entry in own:
        servers.remove(entry.name)
    loop.planner.state.localities = {}
    loop.planner.plan(_advance(region, 1))
    assert _find_locality(loop).local_share == 0
    for entry in own:
        servers.put(entry, region.clock.monotonic())
    loop.planner.plan(_advance(region, 1))
    assert _find_locality(loop).local_share == 1


def test_pool_whose_servers_all_drain_has_a_plan() -> None:
    """The plan raised an error until the load of all regions was heard.

    So a host that lost another region sent no heartbeats and was not ready.
    """
    region = Region(names=('a1', 'b1'))
    loop = region.start('a1')
    entry = ServerEntry('d1', 'old', 'x:9', 'a1', 4, is_draining=True)
    loop.cluster.servers.put(entry, region.clock.monotonic())
    loop.planner.plan(_advance(region, 1))
    assert loop.planner.state.localities['old'].is_sound
    ready = replace(entry, is_draining=False)
    loop.cluster.servers.put(ready, region.clock.monotonic())
    loop.planner.plan(_advance(region, 1))
    assert loop.planner.state.localities['old'].local_share == 1


def test_plan_steps_from_the_first_requests_on() -> None:
    region = Region(names=('a1', 'b1'))
    loop = region.start('a1')
    planner = loop.planner
    shares = [_find_locality(loop).local_share]
    for _ in range(4):
        planner.state.offered.note('p', 12, region.clock.monotonic())
        planner.plan(_advance(region, 1))
        shares.append(_find_locality(loop).local_share)
    steps = [before - after for before, after in pairwise(shares)]
    assert 0 < max(steps) <= 0.04 + 1e-9
    assert min(steps) >= 0


def test_regions_that_have_not_told_their_load_are_not_taken_for_idle() -> None:
    """Callers of all regions come at once, and each region measures its own.

    Taken for idle until their first summary, the other regions got the
    objects of every region that has more callers than slots.
    """
    region = Region(names=('a1', 'b1'))
    first = region.start('a1')
    second = region.start('b1')
    for loop in (first, second):
        loop.planner.state.offered.note('p', 12, region.clock.monotonic())
    now = _advance(region, 1)
    first.planner.plan(now)
    spare = _find_locality(first).spare
    assert spare is not None
    assert spare['b'] == 0
    first.run_once()
    second.run_once()
    loads = first.planner.loads.collect('p', now)
    assert loads['b'].demand > 0


def test_first_plan_leaves_room_for_customers_with_a_home() -> None:
    """Half of all rates belong to a customer that only this region may serve.

    Found out by measurement only, that cost callers of the region refusals,
    and the share of those that are served here fell at once.
    """
    region = Region(names=('a1', 'b1'))
    loop = region.start('a1')
    homely = CustomerRule('court', rate=50, home_regions=frozenset(('a',)))
    customers = (homely, CustomerRule('bank', rate=50))
    loop.cluster.index = CatalogIndex(Catalog(2, customers=customers))
    loop.planner.plan(_advance(region, 1))
    assert _find_locality(loop).local_share == 0
    assert loop.planner.loads.collect('p', 1)['a'].pinned == 4


def _prefer_regions(loop: HeartbeatLoop, objects: int) -> list[str]:
    servers = loop.cluster.servers.select('p')
    return [
        next(
            rank_servers(f'o{number}', servers, 'a', _find_locality(loop))
        ).region
        for number in range(objects)
    ]


def test_objects_move_between_two_other_regions_in_steps() -> None:
    """Region a has no server; its callers' objects are divided among b and c.

    When the callers of b came, all of these objects moved to c within one
    heartbeat, and requests that ran in b ran in c two seconds later.
    """
    region = Region(names=('a1', 'b1', 'c1'))
    loops = {name: region.start(name) for name in region.names}
    for loop in loops.values():
        loop.cluster.servers.assign_regions({'a1': 'c', 'b1': 'b'})
    changed = []
    before: list[str] = []
    for second in range(8):
        now = _advance(region, 1)
        for name, loop in loops.items():
            demand = 1 + 12 * (second > 3) if name == 'b1' else 6
            loop.planner.state.offered.note('p', demand, now - 1)
            loop.run_once()
        after = _prefer_regions(loops['a1'], 1000)
        pairs = zip(before, after, strict=False)
        changed.append(sum(one != two for one, two in pairs))
        before = after
    assert 0 < max(changed[2:]) <= 60


def test_host_that_starts_amid_traffic_steps_with_its_region() -> None:
    """By a plan of its own its callers' objects changed region at once."""
    region = Region(names=('a1', 'a2', 'b1'))
    demands = {'a1': 14, 'b1': 2}
    loops = [region.start(name) for name in demands]
    for _ in range(4):
        now = _advance(region, 1)
        for loop, demand in zip(loops, demands.values(), strict=True):
            loop.planner.state.offered.note('p', demand, now - 1)
            loop.run_once()
    late = region.start('a2')
    neighbour = _find_locality(loops[0]).local_share
    assert neighbour > 0.8
    late.planner.plan(_advance(region, 0.1))
    assert abs(_find_locality(late).local_share - neighbour) <= 0.04 + 1e-9


def test_division_that_no_host_can_have_is_not_adopted() -> None:
    loop = Region().start('a1')
    before = _find_locality(loop)
    loop.planner.adopt({'p': (1.5, {'b': 1}), 'q': (0.5, {'b': -1})})
    loop.planner.adopt({'p': (float('nan'), {}), 'q': (0, {'b': 1e999})})
    assert loop.planner.state.localities == {'p': before}


def test_error_of_one_pool_leaves_the_others_planned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One pool that could not be planned ended the heartbeats of the host."""
    region = Region(names=('a1', 'b1'))
    loop = region.start('a1')
    planner = loop.planner
    entry = ServerEntry('d1', 'odd', 'x:9', 'a1', 4, is_draining=False)
    loop.cluster.servers.put(entry, region.clock.monotonic())
    planner.plan(_advance(region, 1))
    before = planner.state.localities['odd']
    collect = RegionLoads.collect

    def fail_for_one(
        loads: RegionLoads, pool: str, now: float
    ) -> Mapping[str, RegionLoad]:
        if pool == 'odd':
            raise ArithmeticError
        return collect(loads, pool, now)

    monkeypatch.setattr(RegionLoads, 'collect', fail_for_one)
    planner.plan(_advance(region, 1))
    assert planner.failed_pools == {'odd'}
    assert planner.state.localities['odd'] == before
    assert planner.state.localities.keys() == set(loop.cluster.servers.pools)
    monkeypatch.undo()
    planner.plan(_advance(region, 1))
    assert not planner.failed_pools
