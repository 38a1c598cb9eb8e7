"""Hosts that fail, restart, leave, and regions that lose each other."""

from dataclasses import replace
from itertools import permutations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.membership import (
    MemberTable,
    assign_subjects,
    list_usable,
    merge_members,
)
from crocusshunt.membership.tests.network import Network, create_listing
from crocusshunt.messages import Member, MemberStatus
from crocusshunt.store import HostState

_SEED = 7
_ME = Member('a0', 'a', 'a-0', 'http://a0', 'tcp://a0', 4)


def _list_region(network: Network, region: str) -> set[str]:
    return {host.name for host in network.listing if host.region == region}


_beliefs = st.builds(
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
@given(st.lists(_beliefs, min_size=3, max_size=3))
def test_beliefs_agree_in_any_order(beliefs: list[Member]) -> None:
    """Hosts that heard the same news in another order believe the same."""
    outcomes = set()
    for first, *rest in permutations(beliefs):
        held = first
        for heard in (*rest, first):
            held = merge_members(held, heard)
        outcomes.add(msgspec.json.encode(held))
    assert len(outcomes) == 1


def test_probing_is_bounded_and_complete() -> None:
    """Every region probes every host; a host probes few, however many."""
    probed: dict[str, set[str]] = {}
    listing = create_listing('abcd', 60)
    hosts = [Member(host.name, host.region, '', '', '') for host in listing]
    for host in hosts:
        subjects = assign_subjects(host.name, hosts)
        assert len(subjects.near) <= 2
        assert len(subjects.far) == 3
        for name in subjects.near + subjects.far:
            probed.setdefault(name, set()).add(host.region)
    assert all(len(probed[host.name]) == 4 for host in hosts)


async def test_failed_host_is_suspected_then_dead() -> None:
    """Suspicion takes a host off the first places, a verdict off the list."""
    network = Network(create_listing('abc', 3), _SEED)
    await network.run(10)
    network.down.add('b1')
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
    """A restart is believed at once, also when its clock went back."""
    network = Network(create_listing('ab', 3), _SEED)
    await network.run(5)
    network.down.add('b1')
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


async def test_regions_lose_each_other_and_find_each_other_again() -> None:
    """Neither holds the other for dead, and each keeps its own hosts."""
    network = Network(create_listing('ab', 4), _SEED)
    await network.run(5)
    network.cuts.add(frozenset('ab'))
    await network.run(3600)
    for name in network.agents:
        assert network.list_live(name) == _list_region(network, name[0])
        statuses = {
            member.status
            for member in network.agents[name].table.members.values()
        }
        assert MemberStatus.dead not in statuses
    network.cuts.clear()
    for _ in range(30):
        await network.run(1)
        for name, agent in network.agents.items():
            usable = list_usable(name[0], agent.table.members.values())
            own = [host for host in usable.hosts if host.region == name[0]]
            assert len(own) == 4
    everyone = {host.name for host in network.listing}
    assert all(network.list_live(name) == everyone for name in network.agents)


async def test_cut_between_two_regions_is_bridged_by_the_third() -> None:
    """A host that a third region reaches is not held for lost."""
    network = Network(create_listing('abc', 3), _SEED)
    network.cuts.add(frozenset('ab'))
    await network.run(60)
    everyone = {host.name for host in network.listing}
    assert all(network.list_live(name) == everyone for name in network.agents)


async def test_leaving_is_known_before_the_next_probe() -> None:
    """A planned stop reaches the probed hosts at once, and sticks."""
    network = Network(create_listing('ab', 3), _SEED)
    await network.run(5)
    agent = network.agents['b1']
    agent.table.leave()
    await agent.announce()
    told = agent.detector.subjects.near + agent.detector.subjects.far
    assert told
    assert all('b1' not in network.list_live(name) for name in told)
    await network.run(8)
    assert all('b1' not in network.list_live(name) for name in network.agents)


async def test_wrong_list_is_corrected_both_ways() -> None:
    """An unlisted host is used, a listed one that does not answer is not."""
    listing = create_listing('ab', 4)
    network = Network(listing, _SEED)
    network.down.add('a1')
    await network.run(20)
    short = tuple(host for host in listing if host.name != 'b2')
    for agent in network.agents.values():
        agent.table.merge_listing(short)
        agent.table.merge_listing(())
    await network.run(5)
    assert 'a1' not in network.list_live('b0')
    assert 'b2' in network.list_live('a0')


def test_old_listing_does_not_overrule_a_restart() -> None:
    """A host listed as leaving in its former life is used in its next."""
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
    """The table does not grow with every host that ever was."""
    first, second = create_listing('ab', 1)
    table = MemberTable(_ME)
    table.merge_listing((first, second))
    table.accuse('b0', MemberStatus.unreachable)
    table.merge_listing((first,))
    assert set(table.members) == {'a0'}
