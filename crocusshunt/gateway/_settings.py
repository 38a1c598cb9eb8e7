"""Settings of the gateway."""

from dataclasses import dataclass

from crocusshunt.core import HostIdentity
from crocusshunt.store import PlatformSettings


@dataclass(frozen=True, slots=True)
class GatewaySection:
    """Addresses and policy of the gateway.

    :param controller: address of this host's controller.
    :param key_evidence_s: greatest age of the evidence under which keys
        are honoured, in seconds.
    :param answer_lifetime_s: how long callers keep an answer of the locator
        that names this host, in seconds.
    :param finish_s: longest wait for running requests at a stop, in seconds.
    """

    address: str
    port: int
    controller: str
    key_evidence_s: float = 4
    answer_lifetime_s: float = 5
    finish_s: float = 35


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Sections of the gateway's settings file."""

    host: HostIdentity
    gateway: GatewaySection
    platform: PlatformSettings
