"""Answers to look-ups, from local state alone."""

from collections import Counter
from dataclasses import dataclass
from hashlib import blake2b

import msgspec
from result import Err, Ok, Result

from crocusshunt.configuration import Configuration
from crocusshunt.core import CrocusError, IPAddress
from crocusshunt.drains import Drain, DrainIndex
from crocusshunt.membership import HostTable
from crocusshunt.routing import (
    AddressBlock,
    Customer,
    Link,
    Route,
    Server,
    Tables,
)
from crocusshunt.steering import (
    BlockTable,
    Caller,
    EntryHostRanker,
    index_link_delays,
)

_LISTED_HOSTS = 4
_DIGEST_BYTES = 8


class ListedHost(msgspec.Struct, frozen=True):
    """An entry host in an answer."""

    name: str
    region: str
    failure_domain: str
    url: str


class LookupAnswer(msgspec.Struct, frozen=True):
    """Entry hosts in the order in which a caller should try them.

    :param lifetime_s: how long the answer may be kept, in seconds.
    """

    hosts: tuple[ListedHost, ...]
    lifetime_s: int
    revision: int

    def compute_tag(self) -> str:
        """Return the entity tag of the answer."""
        digest = blake2b(msgspec.json.encode(self), digest_size=_DIGEST_BYTES)
        return f'"{digest.hexdigest()}"'


@dataclass(frozen=True, slots=True)
class LookupQuestion:
    """What a caller asks.

    :param route: name of the route it will use, empty for any.
    :param customer: name of its customer, empty if unknown.
    """

    client: IPAddress
    route: str = ''
    customer: str = ''


@dataclass(unsafe_hash=True)
class LookupFailureError(CrocusError):
    """A look-up without an answer."""

    code = 'lookup'


@dataclass(unsafe_hash=True)
class UnknownNameError(LookupFailureError):
    """A look-up that names a row that does not exist."""

    code = 'name-unknown'

    table: str
    name: str


@dataclass(unsafe_hash=True)
class NoHostsError(LookupFailureError):
    """No usable entry host is known."""

    code = 'no-hosts'


class Lookups:
    """Orders entry hosts by what the controller last said."""

    def __init__(self, hosts: HostTable, lifetime_s: int) -> None:
        """Start without configuration.

        :param lifetime_s: how long answers may be kept, in seconds.
        """
        self._hosts = hosts
        self._lifetime_s = lifetime_s
        self._tables = Tables()
        self._revision = 0
        self._blocks = BlockTable()
        self._directory = EntryHostRanker((), {})
        self._hosts_version = 0
        self._pool_regions: dict[str, frozenset[str]] = {}

    def accept(self, configuration: Configuration) -> None:
        """Take a new configuration, by its difference where it is large."""
        before = self._tables.select(AddressBlock)
        self._tables = configuration.tables
        self._revision = configuration.revision
        after = self._tables.select(AddressBlock)
        gone = set(before).difference(after)
        come = set(after).difference(before)
        self._blocks.update(gone, come)
        self._index_hosts()

    def answer(
        self,
        question: LookupQuestion,
    ) -> Result[LookupAnswer, LookupFailureError]:
        """Return the entry hosts for a caller."""
        self._follow_hosts()
        caller = self._describe(question)
        if isinstance(caller, Err):
            return caller
        hosts = self._directory.rank(caller.ok_value, _LISTED_HOSTS)
        if not hosts:
            return Err(NoHostsError())
        listed = tuple(
            ListedHost(
                host.name,
                host.region,
                host.failure_domain,
                host.gateway,
            )
            for host in hosts
        )
        return Ok(LookupAnswer(listed, self._lifetime_s, self._revision))

    def _describe(
        self,
        question: LookupQuestion,
    ) -> Result[Caller, LookupFailureError]:
        customer, route = question.customer, question.route
        if customer and self._tables.find(Customer, customer) is None:
            return Err(UnknownNameError('customer', customer))
        targets: frozenset[str] = frozenset()
        if route:
            found = self._tables.find(Route, route)
            if found is None:
                return Err(UnknownNameError('route', route))
            targets = self._pool_regions.get(found.pool, targets)
        region = self._blocks.find_region(question.client)
        identity = f'{question.client} {customer}'
        return Ok(Caller(identity, region, targets))

    def _follow_hosts(self) -> None:
        if self._hosts.version != self._hosts_version:
            self._index_hosts()

    def _index_hosts(self) -> None:
        self._hosts_version = self._hosts.version
        delays_ms = index_link_delays(self._tables.select(Link))
        suspects = self._hosts.suspects
        places = DrainIndex(self._tables.select(Drain))
        hosts = [
            host
            for host in self._hosts.hosts
            if not places.is_host_draining(host)
        ]
        self._directory = EntryHostRanker(hosts, delays_ms, suspects)
        self._pool_regions = _find_regions(self._tables)


def _find_regions(tables: Tables) -> dict[str, frozenset[str]]:
    """Return the regions in which each pool has servers that take work."""
    places = DrainIndex(tables.select(Drain))
    pairs = Counter(
        (server.pool, server.region)
        for server in tables.select(Server)
        if server.weight and not places.is_server_draining(server)
    )
    return {
        pool: frozenset(region for other, region in pairs if other == pool)
        for pool, _ in pairs
    }
