"""Settings of an API process."""

from dataclasses import dataclass

from crocusshunt.core import HostIdentity
from crocusshunt.storeclient import PlatformSettings
from crocusshunt.settings import HostAddress, OptionalDigest, Port, TcpAddress


@dataclass(frozen=True, slots=True)
class ApiSection:
    """Addresses of the API process, and the key of the first operator.

    :param address: IP address of the HTTP server for operators.
    :param port: port of the HTTP server.
    :param listen: ``tcp://ip:port`` where controllers fetch changes.
    :param bootstrap_digest: SHA-256 of the key of a first operator, in
        hexadecimal; this operator has the role administer until the operator
        table has a row.
    :param peers: ``tcp://ip:port`` of other API processes, from which the
        configuration is fetched too, in case the store is down.
    """

    address: HostAddress
    port: Port
    listen: TcpAddress
    bootstrap_digest: OptionalDigest = ''
    peers: tuple[TcpAddress, ...] = ()


@dataclass(frozen=True, slots=True)
class ApiSettings:
    """Sections of the settings file of an API process."""

    host: HostIdentity
    api: ApiSection
    platform: PlatformSettings
