"""Admission of requests by route and API key."""

from collections.abc import Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.configuration import Configuration
from crocusshunt.core import IPAddress
from crocusshunt.delivery import NotRun
from crocusshunt.drains import Drain, DrainIndex
from crocusshunt.keys import Key, Keyring, MissingKeyError
from crocusshunt.replication import Feed
from crocusshunt.routing import (
    Access,
    RequestAttributes,
    Route,
    RouteMatcher,
    Server,
)

_STATUS_UNAUTHORIZED = 401
_STATUS_NOT_FOUND = 404
_STATUS_UNAVAILABLE = 503
_EVIDENCE_RETRY_S = 1


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Properties of a request that decide on its admission.

    :param client: IP address of the caller.
    :param keys: the distinct API keys that the request carries.
    """

    host: str
    path: str
    method: str
    client: IPAddress
    keys: frozenset[str]


@dataclass(frozen=True, slots=True)
class Admission:
    """Route and customer of an admitted request.

    :param customer: name of the customer, empty on routes open to all.
    """

    route: Route
    customer: str


class AdmissionControl:
    """Finds routes and checks keys against the configuration in force.

    A key is accepted only while this host has recent evidence that its
    configuration is current; otherwise a withdrawn key could still pass.
    Keys and servers named in a change that is not yet in force are
    suspended.
    """

    def __init__(self, feed: Feed, key_evidence_s: float) -> None:
        """Follow a configuration feed.

        :param key_evidence_s: greatest age of the evidence under which keys
            are accepted, in seconds.
        """
        self._feed = feed
        self._key_evidence_s = key_evidence_s
        self._keyring = Keyring(())
        self._matcher = RouteMatcher(())
        self._servers: Mapping[str, tuple[Server, ...]] = {}
        feed.add_listener(self._rebuild)

    @property
    def servers(self) -> Mapping[str, tuple[Server, ...]]:
        """Return backend servers by pool.

        Drained servers, and those that a pending change names, are left
        out.
        """
        suspended = self._feed.find_suspension(self._key_evidence_s).servers
        if not suspended:
            return self._servers
        return {
            pool: tuple(one for one in servers if one.name not in suspended)
            for pool, servers in self._servers.items()
        }

    def admit(self, request: AdmissionRequest) -> Result[Admission, NotRun]:
        """Return the route and customer of a request, or a refusal."""
        if not self._feed.configuration.revision:
            return Err(_refuse_unconfigured())
        key = self._authenticate(request)
        customer = key.ok_value.customer if isinstance(key, Ok) else ''
        route = self._matcher.find(
            RequestAttributes(
                host=request.host,
                path=request.path,
                method=request.method,
                customer=customer,
                client=request.client,
            ),
        )
        if route is None:
            return Err(_refuse_unrouted(key))
        if route.access is Access.open:
            return Ok(Admission(route, ''))
        if isinstance(key, Err):
            return key
        return Ok(Admission(route, customer))

    def _authenticate(self, request: AdmissionRequest) -> Result[Key, NotRun]:
        if len(request.keys) > 1:
            return Err(_refuse_key('key-ambiguous'))
        presented = next(iter(request.keys), '')
        if not presented:
            return Err(_refuse_key(MissingKeyError.code))
        if self._feed.measure_evidence_age() > self._key_evidence_s:
            return Err(
                NotRun(
                    'key-evidence-stale',
                    _STATUS_UNAVAILABLE,
                    'this host cannot tell whether the key was withdrawn; '
                    'use another host',
                    _EVIDENCE_RETRY_S,
                ),
            )
        key = self._keyring.authenticate(presented)
        return key.map_err(lambda error: _refuse_key(error.code)).and_then(
            self._check_suspension,
        )

    def _check_suspension(self, key: Key) -> Result[Key, NotRun]:
        if (
            key.name
            not in self._feed.find_suspension(self._key_evidence_s).keys
        ):
            return Ok(key)
        return Err(
            NotRun(
                'key-suspended',
                _STATUS_UNAVAILABLE,
                'a change of this key is being accepted; ask again',
                _EVIDENCE_RETRY_S,
            ),
        )

    def _rebuild(self, configuration: Configuration) -> None:
        tables = configuration.tables
        self._keyring = Keyring(tables.select(Key))
        self._matcher = RouteMatcher(tables.select(Route))
        servers: dict[str, tuple[Server, ...]] = {}
        drained = DrainIndex(tables.select(Drain))
        for server in tables.select(Server):
            if not drained.is_server_draining(server):
                pool_servers = servers.get(server.pool, ())
                servers[server.pool] = (*pool_servers, server)
        self._servers = servers


def _refuse_key(code: str) -> NotRun:
    return NotRun(code, _STATUS_UNAUTHORIZED, 'the key is not honoured')


def _refuse_unconfigured() -> NotRun:
    return NotRun(
        'configuration-missing',
        _STATUS_UNAVAILABLE,
        'this host has no configuration yet; use another host',
        _EVIDENCE_RETRY_S,
    )


def _refuse_unrouted(key: Result[Key, NotRun]) -> NotRun:
    is_keyless = (
        isinstance(key, Err) and key.err_value.code == MissingKeyError.code
    )
    if isinstance(key, Err) and not is_keyless:
        return key.err_value
    return NotRun('no-route', _STATUS_NOT_FOUND, 'no route matches the request')
