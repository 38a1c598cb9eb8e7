"""Hosts that fail, restart and leave, and regions cut off from each other."""

from dataclasses import replace
from itertools import permutations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.membership import (
    MemberTable,
    assign_probe_targets,
    list_usable,
    merge_members,
)
from crocusshunt.membership.tests.network import Network, create_listing
from crocusshunt.messages import Member, MemberStatus
from crocusshunt.store import HostState

_SEED = 7
_ME = Member('a0', 'a', 'a-0', 'http://a0', 'tcp://a0', 4)


def _list_hosts_of_region(network: Network, region: str) -> set[str]:
    return {host.name for host in network.listing if host.region == region}


_records = st.builds(
    Member,
    name=st.just('a0'),
    region=st.just('a'),
    failure_domain=st.just('a-0'),
    gateway=st.just('http://a0'),
    controller=st.just('tcp://a0'),
    incarnation=st.integers(0, 3),
    is_leaving=st.booleans(),
    status=st.sampled_from(MemberStatus),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(_records, min_size=3, max_size=3))
def test_merged_records_do_not_depend_on_the_order(
    records: list[Member],
) -> None:
    """Hosts that get the same updates in another order end up equal."""
    outcomes = set()
    for first, *rest in permutations(records):
        current = first
        for received in (*rest, first):
            current = merge_members(current, received)
        outcomes.add(msgspec.json.encode(current))
    assert len(outcomes) == 1


def test_probing_is_bounded_and_complete() -> None:
    """Every region probes every host; each host probes at most 5 others."""
    probed: dict[str, set[str]] = {}
    listing = create_listing('abcd', 60)
    hosts = [Member(host.name, host.region, '', '', '') for host in listing]
    for host in hosts:
        targets = assign_probe_targets(host.name, hosts)
        assert len(targets.same_region) <= 2
        assert len(targets.other_regions) == 3
        for name in targets.same_region + targets.other_regions:
            probed.setdefault(name, set()).add(host.region)
    assert all(len(probed[host.name]) == 4 for host in hosts)


async def test_failed_host_is_suspected_then_dead() -> None:
    """A host that stops answering is first suspect and then dead."""
    network = Network(create_listing('abc', 3), _SEED)
    await network.run(10)
    network.stopped_hosts.add('b1')
    await network.run(2)
    member = network.agents['b0'].table.members['b1']
    assert member.status is MemberStatus.suspect
    await network.run(16)
    statuses = {
        agent.table.members['b1'].status
        for name, agent in network.agents.items()
        if name != 'b1'
    }
    assert statuses == {MemberStatus.dead}


async def test_restart_at_the_same_address_is_a_new_incarnation() -> None:
    """A restart is accepted at once, even if the host's clock went back.

    Its lower incarnation is raised by refutation.
    """
    network = Network(create_listing('ab', 3), _SEED)
    await network.run(5)
    network.stopped_hosts.add('b1')
    await network.run(20)
    assert 'b1' not in network.list_live('a0')
    network.start(network.listing[4], incarnation=0)
    await network.run(15)
    incarnations = {
        agent.table.members['b1'].incarnation
        for agent in network.agents.values()
    }
    assert incarnations == {2}
    assert all('b1' in network.list_live(name) for name in network.agents)


async def test_regions_cut_off_from_each_other_recover() -> None:
    """Neither region declares hosts dead, and each keeps its own hosts."""
    network = Network(create_listing('ab', 4), _SEED)
    await network.run(5)
    network.cut_regions.add(frozenset('ab'))
    await network.run(3600)
    for name in network.agents:
        assert network.list_live(name) == _list_hosts_of_region(
            network, name[0]
        )
        statuses = {
            member.status
            for member in network.agents[name].table.members.values()
        }
        assert MemberStatus.dead not in statuses
    network.cut_regions.clear()
    for _ in range(30):
        await network.run(1)
        for name, agent in network.agents.items():
            usable = list_usable(name[0], agent.table.members.values())
            own = [host for host in usable.hosts if host.region == name[0]]
            assert len(own) == 4
    everyone = {host.name for host in network.listing}
    assert all(network.list_live(name) == everyone for name in network.agents)


async def test_third_region_relays_between_two_regions_cut_off() -> None:
    """A host that a third region reaches is not declared unreachable."""
    network = Network(create_listing('abc', 3), _SEED)
    network.cut_regions.add(frozenset('ab'))
    await network.run(60)
    everyone = {host.name for host in network.listing}
    assert all(network.list_live(name) == everyone for name in network.agents)


async def test_leaving_is_known_before_the_next_probe() -> None:
    """A planned stop reaches all probe targets at once and stays known."""
    network = Network(create_listing('ab', 3), _SEED)
    await network.run(5)
    agent = network.agents['b1']
    agent.table.set_leaving()
    await agent.announce()
    probed_hosts = (
        agent.detector.targets.same_region
        + agent.detector.targets.other_regions
    )
    assert probed_hosts
    assert all('b1' not in network.list_live(name) for name in probed_hosts)
    await network.run(8)
    assert all('b1' not in network.list_live(name) for name in network.agents)


async def test_wrong_list_is_corrected_by_probes() -> None:
    """An unlisted live host is used; a listed one that is down is not."""
    listing = create_listing('ab', 4)
    network = Network(listing, _SEED)
    network.stopped_hosts.add('a1')
    await network.run(20)
    short = tuple(host for host in listing if host.name != 'b2')
    for agent in network.agents.values():
        agent.table.merge_listing(short)
        agent.table.merge_listing(())
    await network.run(5)
    assert 'a1' not in network.list_live('b0')
    assert 'b2' in network.list_live('a0')


def test_old_listing_does_not_overrule_a_restart() -> None:
    """A host that was listed as leaving is used again after its restart."""
    entry = create_listing('ab', 1)[1]
    leaving = replace(entry, state=HostState.leaving)
    table = MemberTable(_ME)
    table.merge_listing((leaving,))
    assert table.members['b0'].is_leaving
    restarted = Member('b0', 'b', 'b-0', 'http://b0', 'tcp://b0', 9)
    table.merge_updates((restarted,))
    table.merge_listing((leaving,))
    assert not table.members['b0'].is_leaving


def test_lost_host_is_forgotten_once_unlisted() -> None:
    """The table does not grow with hosts that no longer exist."""
    first, second = create_listing('ab', 1)
    table = MemberTable(_ME)
    table.merge_listing((first, second))
    table.record_status('b0', MemberStatus.unreachable)
    table.merge_listing((first,))
    assert set(table.members) == {'a0'}
