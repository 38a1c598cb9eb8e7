"""Settings of the locator."""

from dataclasses import dataclass

from crocusshunt.core import HostIdentity
from crocusshunt.settings import HostAddress, Port, TcpAddress


@dataclass(frozen=True, slots=True)
class LocatorSection:
    """Addresses and policy of the locator.

    :param controller: address of this host's controller.
    :param lifetime_s: how long callers may keep an answer, in seconds.
    :param trusted_forwarders: addresses whose ``X-Forwarded-For`` is
        believed.
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
