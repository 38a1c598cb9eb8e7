"""Settings of the request path, and the formats it reads and speaks."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from result import Result

from crocusshunt.catalog import Catalog
from crocusshunt.front._errors import MalformedSourceError
from crocusshunt.placement import ServerEntry


@dataclass(frozen=True, slots=True)
class DeploymentLimits:
    """Times and figures that the deployment must keep.

    :param grace_s: from SIGTERM until the process is killed.
    :param retry_ratio: retries for each request, over all hosts.
    :param retry_extra: retries in a window beyond the ratio.
    :param retry_window_s: length of that window.
    :param max_lookup_ttl_s: longest time a caller may keep a look-up.
    """

    grace_s: float = 6
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_extra: float = 60
    max_lookup_ttl_s: float = 5


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """Where a host is, and what it serves at which address.

    :param regions: region of each failure domain.
    :param internal_port: for traffic between hosts, TCP and UDP.
    """

    name: str
    ip: str
    region: str
    failure_domain: str
    front_address: str
    ready_address: str
    directory_address: str
    internal_port: int
    regions: Mapping[str, str]
    store_address: str
    limits: DeploymentLimits = field(default_factory=DeploymentLimits)


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that the request path reads and sets.

    :param request_id: id of one attempt of a caller.
    :param deadline_ms: milliseconds that the caller still waits.
    :param affinity_cookie: cookie that names the object of a request.
    :param customer: customer of the caller's key, set by the system.
    :param expected_server: name of the server a request is meant for.
    :param load: a server's word on its load.
    :param not_run: tells that a server did not run the request.
    :param signature: marks an answer as a server's own.
    :param key_scheme: what stands before the key in Authorization.
    """

    request_id: str
    deadline_ms: str
    affinity_cookie: str
    customer: str
    expected_server: str
    load: str
    not_run: str
    signature: str
    key_scheme: str


@dataclass(frozen=True, slots=True)
class TableNames:
    """Tables of the store that a host follows, and its own."""

    configuration: str
    servers: str
    hosts: str


@dataclass(frozen=True, slots=True)
class SourceFormat:
    """How rows of the followed tables are read.

    :param configuration_key: key of the row with the configuration.
    :param evacuation_prefix: keys of rows that name a failure domain whose
        servers get no requests.
    """

    tables: TableNames
    headers: HeaderNames
    configuration_key: str
    evacuation_prefix: str
    decode_catalog: Callable[[bytes], Result[Catalog, MalformedSourceError]]
    decode_server: Callable[
        [str, bytes],
        Result[ServerEntry, MalformedSourceError],
    ]
