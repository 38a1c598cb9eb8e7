"""Settings of the gateway."""

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from crocusshunt.core import HostIdentity
from crocusshunt.delivery import BudgetSettings, EjectionSettings, QueueSettings
from crocusshunt.storeclient import PlatformSettings
from crocusshunt.settings import Duration, HostAddress, Port, TcpAddress

# A withdrawn key must stop working within 5 s.
_GREATEST_EVIDENCE_AGE_S = 4.5
EvidenceAge = Annotated[float, Meta(gt=0, le=_GREATEST_EVIDENCE_AGE_S)]


@dataclass(frozen=True, slots=True)
class GatewaySection:
    """Addresses and policy of the gateway.

    :param controller: address of this host's controller.
    :param key_evidence_s: greatest age of the evidence under which keys
        are honoured, in seconds.
    :param answer_lifetime_s: how long callers may still come after a stop
        began, in seconds: until every locator knows of it, and then for as
        long as they keep a locator's answer.
    :param finish_s: longest wait for running requests at a stop, in seconds.
    :param metrics_port: loopback port of the metrics, 0 for none.
    """

    address: HostAddress
    port: Port
    controller: TcpAddress
    key_evidence_s: EvidenceAge = 4
    answer_lifetime_s: Duration = 8
    finish_s: Duration = 35
    metrics_port: Port = 0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Sections of the gateway's settings file."""

    host: HostIdentity
    gateway: GatewaySection
    platform: PlatformSettings


@dataclass(frozen=True, slots=True)
class DeliveryPolicy:
    """How requests wait, are retried, and servers are left out.

    :param retries: budget for attempts after a failure.
    :param sheds: budget for attempts after a server had no room.
    """

    queue: QueueSettings = field(default_factory=QueueSettings)
    ejection: EjectionSettings = field(default_factory=EjectionSettings)
    retries: BudgetSettings = field(default_factory=BudgetSettings)
    sheds: BudgetSettings = field(
        default_factory=lambda: BudgetSettings(ratio=3, reserve=100),
    )
