"""Settings of the operators' interface."""

from dataclasses import dataclass

from crocusshunt.core import HostIdentity
from crocusshunt.storeclient import PlatformSettings
from crocusshunt.settings import HostAddress, OptionalDigest, Port, TcpAddress


@dataclass(frozen=True, slots=True)
class ApiSection:
    """Addresses of the interface.

    :param listen: ``tcp://ip:port`` where controllers ask for changes.
    :param peers: ``tcp://ip:port`` of other such processes, asked for the
        configuration while the store is down.
    :param bootstrap_digest: SHA-256 of the key of a first operator, who may
        administer until the operator table has a row.
    """

    address: HostAddress
    port: Port
    listen: TcpAddress
    bootstrap_digest: OptionalDigest = ''
    peers: tuple[TcpAddress, ...] = ()


@dataclass(frozen=True, slots=True)
class ApiSettings:
    """Sections of the interface's settings file."""

    host: HostIdentity
    api: ApiSection
    platform: PlatformSettings
