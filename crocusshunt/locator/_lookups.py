"""Resolution of look-ups from local state only."""

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

_MAX_HOSTS = 4
_DIGEST_BYTES = 8


class ListedHost(msgspec.Struct, frozen=True):
    """Entry host in an answer.

    :param name: name of the host.
    :param url: base URL of the host's gateway.
    """

    name: str
    region: str
    failure_domain: str
    url: str


class LookupAnswer(msgspec.Struct, frozen=True):
    """Entry hosts in the order in which a caller should try them.

    :param hosts: the entry hosts.
    :param lifetime_s: time for which a caller may cache the answer, in
        seconds.
    :param revision: revision of the configuration used.
    """

    hosts: tuple[ListedHost, ...]
    lifetime_s: int
    revision: int

    def compute_tag(self) -> str:
        """Return the HTTP entity tag of the answer, a digest of its JSON."""
        digest = blake2b(msgspec.json.encode(self), digest_size=_DIGEST_BYTES)
        return f'"{digest.hexdigest()}"'


@dataclass(frozen=True, slots=True)
class LookupQuery:
    """Look-up of a caller.

    :param client: address of the client that the look-up is for.
    :param route: name of the route that the caller will use, empty for any.
    :param customer: name of the caller's customer, empty if unknown.
    """

    client: IPAddress
    route: str = ''
    customer: str = ''


@dataclass(unsafe_hash=True)
class LookupFailureError(CrocusError):
    """Base class of errors for look-ups that have no answer."""

    code = 'lookup'


@dataclass(unsafe_hash=True)
class UnknownNameError(LookupFailureError):
    """A look-up that names a configuration row that does not exist.

    :param table: table of the row.
    :param name: name of the row.
    """

    code = 'name-unknown'

    table: str
    name: str


@dataclass(unsafe_hash=True)
class NoHostsError(LookupFailureError):
    """A look-up for which no usable entry host is known."""

    code = 'no-hosts'


class LookupResolver:
    """Resolves look-ups from the last configuration and host list received."""

    def __init__(self, hosts: HostTable, lifetime_s: int) -> None:
        """Start without a configuration.

        :param hosts: table of the known hosts.
        :param lifetime_s: time for which callers may cache an answer, in
            seconds.
        """
        self._hosts = hosts
        self._lifetime_s = lifetime_s
        self._tables = Tables()
        self._revision = 0
        self._blocks = BlockTable()
        self._ranker = EntryHostRanker((), {})
        self._hosts_version = 0
        self._pool_regions: dict[str, frozenset[str]] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Replace the configuration.

        The table of client blocks can be large, so only blocks that differ
        are updated.
        """
        old_blocks = self._tables.select(AddressBlock)
        self._tables = configuration.tables
        self._revision = configuration.revision
        new_blocks = self._tables.select(AddressBlock)
        removed_blocks = set(old_blocks).difference(new_blocks)
        added_blocks = set(new_blocks).difference(old_blocks)
        self._blocks.update(removed_blocks, added_blocks)
        self._index_hosts()

    def answer(
        self,
        query: LookupQuery,
    ) -> Result[LookupAnswer, LookupFailureError]:
        """Return the entry hosts for a caller, the one to try first leading.

        :param query: the look-up.
        """
        self._refresh_hosts()
        caller = self._create_caller(query)
        if isinstance(caller, Err):
            return caller
        hosts = self._ranker.rank(caller.ok_value, _MAX_HOSTS)
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

    def _create_caller(
        self,
        query: LookupQuery,
    ) -> Result[Caller, LookupFailureError]:
        customer, route = query.customer, query.route
        if customer and self._tables.find(Customer, customer) is None:
            return Err(UnknownNameError('customer', customer))
        targets: frozenset[str] = frozenset()
        if route:
            route_row = self._tables.find(Route, route)
            if route_row is None:
                return Err(UnknownNameError('route', route))
            targets = self._pool_regions.get(route_row.pool, targets)
        region = self._blocks.find_region(query.client)
        identity = f'{query.client} {customer}'
        return Ok(Caller(identity, region, targets))

    def _refresh_hosts(self) -> None:
        if self._hosts.version != self._hosts_version:
            self._index_hosts()

    def _index_hosts(self) -> None:
        self._hosts_version = self._hosts.version
        delays_ms = index_link_delays(self._tables.select(Link))
        suspects = self._hosts.suspects
        drain_index = DrainIndex(self._tables.select(Drain))
        hosts = [
            host
            for host in self._hosts.hosts
            if not drain_index.is_host_draining(host)
        ]
        self._ranker = EntryHostRanker(hosts, delays_ms, suspects)
        self._pool_regions = _find_pool_regions(self._tables)


def _find_pool_regions(tables: Tables) -> dict[str, frozenset[str]]:
    """Return the regions where each pool has servers that accept requests."""
    drain_index = DrainIndex(tables.select(Drain))
    pool_regions = Counter(
        (server.pool, server.region)
        for server in tables.select(Server)
        if server.weight and not drain_index.is_server_draining(server)
    )
    return {
        pool: frozenset(
            region for pool_name, region in pool_regions if pool_name == pool
        )
        for pool, _ in pool_regions
    }
