"""Settings of the gateway."""

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from crocusshunt.core import HostIdentity
from crocusshunt.delivery import BudgetSettings, EjectionSettings, QueueSettings
from crocusshunt.storeclient import PlatformSettings
from crocusshunt.settings import Duration, HostAddress, Port, TcpAddress

# A withdrawn key must stop working within 5 s.
_MAX_EVIDENCE_AGE_S = 4.5
EvidenceAge = Annotated[float, Meta(gt=0, le=_MAX_EVIDENCE_AGE_S)]


@dataclass(frozen=True, slots=True)
class GatewaySection:
    """Addresses and time limits of the gateway.

    :param controller: address of this host's controller.
    :param key_evidence_s: greatest age, in seconds, of the evidence that
        the configuration is current under which keys are accepted.
    :param answer_lifetime_s: how long new requests are still accepted after
        a stop began, in seconds: until every locator knows of the stop, and
        then for as long as callers use a locator's earlier answer.
    :param finish_s: longest wait for running requests at a stop, in seconds.
    :param metrics_port: loopback port of the metrics service, 0 to disable
        it.
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
    """Queueing, outlier ejection and retry budgets.

    :param ejection: when a failing server gets no requests for a time.
    :param retries: budget for attempts after a failure.
    :param shed_retries: budget for attempts after a server shed the
        request: refused it, without running it, for lack of a free slot.
    """

    queue: QueueSettings = field(default_factory=QueueSettings)
    ejection: EjectionSettings = field(default_factory=EjectionSettings)
    retries: BudgetSettings = field(default_factory=BudgetSettings)
    shed_retries: BudgetSettings = field(
        default_factory=lambda: BudgetSettings(ratio=3, reserve=100),
    )
