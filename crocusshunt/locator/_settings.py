"""Settings of the locator."""

from dataclasses import dataclass

from crocusshunt.core import HostIdentity
from crocusshunt.settings import HostAddress, Port, TcpAddress


@dataclass(frozen=True, slots=True)
class LocatorSection:
    """Settings of the locator's HTTP service and answers.

    :param address: address on which the locator listens.
    :param port: port on which the locator listens.
    :param controller: address of this host's controller.
    :param lifetime_s: time for which callers may cache an answer, in seconds.
    :param trusted_forwarders: addresses of forwarders that may name another
        client, by ``X-Forwarded-For`` or the query parameter ``client``.
    """

    address: HostAddress
    port: Port
    controller: TcpAddress
    lifetime_s: int = 5
    trusted_forwarders: tuple[HostAddress, ...] = ()


@dataclass(frozen=True, slots=True)
class LocatorSettings:
    """Sections of the locator's settings file."""

    host: HostIdentity
    locator: LocatorSection
