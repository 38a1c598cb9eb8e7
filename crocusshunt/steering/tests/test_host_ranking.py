"""Ranking of entry hosts for callers."""

from dataclasses import replace

from crocusshunt.membership.tests.network import create_listing
from crocusshunt.steering import Caller, EntryHostRanker
from crocusshunt.store import HostState

_HOSTS = create_listing('abc', 4)
_DELAYS_MS = {('a', 'b'): 55, ('a', 'c'): 20, ('b', 'c'): 10, ('c', 'b'): 10}


def _rank_names(
    ranker: EntryHostRanker, caller: Caller, count: int
) -> list[str]:
    return [host.name for host in ranker.rank(caller, count)]


def test_near_regions_first_and_domains_alternate() -> None:
    """Hosts are grouped by region; successive ones differ in domain."""
    ranked = EntryHostRanker(_HOSTS, _DELAYS_MS).rank(Caller('x', 'a'), 99)
    assert [host.region for host in ranked] == list('aaaaccccbbbb')
    domains = [host.failure_domain for host in ranked[:4]]
    assert domains[0] != domains[1]
    assert domains[:2] == domains[2:]


def test_regions_with_servers_of_the_route_come_first() -> None:
    """Without a known caller region, the region of the servers is first."""
    caller = Caller('x', '', frozenset('b'))
    ranker = EntryHostRanker(_HOSTS, _DELAYS_MS)
    assert ranker.rank(caller, 1)[0].region == 'b'


def test_leaving_hosts_are_omitted_and_suspects_last() -> None:
    """A leaving host is not ranked; a suspected one comes after all others."""
    hosts = (replace(_HOSTS[0], state=HostState.leaving), *_HOSTS[1:])
    ranker = EntryHostRanker(hosts, _DELAYS_MS, ('a1',))
    ranked = _rank_names(ranker, Caller('x', 'a'), 99)
    assert 'a0' not in ranked
    assert ranked[-1] == 'a1'
    assert len(ranked) == 11


def test_lost_host_moves_only_its_own_callers() -> None:
    """Callers of other hosts keep their first host."""
    all_hosts = EntryHostRanker(_HOSTS, _DELAYS_MS)
    without_first = EntryHostRanker(_HOSTS[1:], _DELAYS_MS)
    served = 0
    for number in range(400):
        caller = Caller(f'10.0.0.{number}', 'a')
        first = _rank_names(all_hosts, caller, 1)
        served += first == ['a0']
        if first != ['a0']:
            assert _rank_names(without_first, caller, 1) == first
    assert 50 < served < 150
