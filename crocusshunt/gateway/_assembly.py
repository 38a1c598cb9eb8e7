"""Assembly of the dispatcher and its collaborators."""

import random
from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.delivery import (
    Forwarder,
    OutlierDetector,
    RetryBudget,
    ServerLoads,
)
from crocusshunt.gateway._admission import AdmissionControl
from crocusshunt.gateway._dispatch import Dispatcher, DispatchParts
from crocusshunt.gateway._picking import ServerPicker, ServerStatistics
from crocusshunt.gateway._settings import DeliveryPolicy
from crocusshunt.gateway._shares import RegionSplit
from crocusshunt.gateway._slots import SlotAllocator
from crocusshunt.gateway._suspects import SuspectRegistry
from crocusshunt.replication import Feed


@dataclass(frozen=True, slots=True)
class DispatchContext:
    """What the dispatcher needs from the rest of the gateway.

    :param region: region of this host.
    :param source: randomness for the choice of servers.
    """

    region: str
    feed: Feed
    admission_control: AdmissionControl
    suspects: SuspectRegistry
    forwarder: Forwarder
    clock: Clock
    source: random.Random


def create_dispatcher(
    context: DispatchContext,
    policy: DeliveryPolicy,
) -> Dispatcher:
    """Return a dispatcher that follows the configuration in force."""
    statistics = ServerStatistics(
        ServerLoads(), OutlierDetector(policy.ejection)
    )
    split = RegionSplit(context.region)
    context.feed.add_listener(split.apply_configuration)
    picker = ServerPicker(
        context.admission_control,
        statistics,
        context.clock,
        context.source,
        split,
    )
    parts = DispatchParts(
        SlotAllocator(picker, context.clock, policy.queue),
        statistics,
        context.forwarder,
        context.suspects,
        retries=RetryBudget(policy.retries),
        shed_retries=RetryBudget(policy.shed_retries),
    )
    return Dispatcher(parts, context.clock)
