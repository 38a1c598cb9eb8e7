"""Order of the entry hosts for a caller."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from crocusshunt.core import rank_by_rendezvous
from crocusshunt.routing import Link
from crocusshunt.store import HostEntry, HostState


@dataclass(frozen=True, slots=True)
class Caller:
    """Who asks for entry hosts.

    :param identity: stable text of the caller, such as its address.
    :param region: region nearest to it, empty if unknown.
    """

    identity: str
    region: str


@dataclass(frozen=True, slots=True)
class Directory:
    """Hosts and distances that answers are made from.

    :param delays_ms: one-way delay by source and target region.
    """

    hosts: tuple[HostEntry, ...]
    delays_ms: Mapping[tuple[str, str], float]


def measure_delays(links: Iterable[Link]) -> dict[tuple[str, str], float]:
    """Return the delay of each link by its regions, in milliseconds."""
    return {(link.source, link.target): link.delay_ms for link in links}


def rank_hosts(directory: Directory, caller: Caller) -> tuple[HostEntry, ...]:
    """Return the live hosts for a caller, the one to try first leading.

    Near regions come first. Within a region the order is a rendezvous
    ranking, stable for the caller, rearranged so that neighbours in the
    list lie in different failure domains where possible.
    """
    live = [host for host in directory.hosts if host.state is HostState.live]
    by_name = {host.name: host for host in live}
    ranked = [
        by_name[name] for name in rank_by_rendezvous(caller.identity, by_name)
    ]
    regions = sorted(
        {host.region for host in live},
        key=lambda region: (_measure(directory, caller, region), region),
    )
    return tuple(
        host
        for region in regions
        for host in _spread([one for one in ranked if one.region == region])
    )


def _measure(directory: Directory, caller: Caller, region: str) -> float:
    if region == caller.region:
        return 0
    pair = (caller.region, region)
    return directory.delays_ms.get(pair, float('inf'))


def _spread(hosts: list[HostEntry]) -> list[HostEntry]:
    """Take one host of each failure domain in turn."""
    rounds: dict[str, int] = {}
    placed: list[tuple[int, int, HostEntry]] = []
    for position, host in enumerate(hosts):
        turn = rounds.get(host.failure_domain, 0)
        rounds[host.failure_domain] = turn + 1
        placed.append((turn, position, host))
    return [place[-1] for place in sorted(placed)]
