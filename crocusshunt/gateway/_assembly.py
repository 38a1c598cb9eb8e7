"""Assembly of the parts that find room and send."""

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
from crocusshunt.gateway._picking import ServerPicker, ServerState
from crocusshunt.gateway._rooms import Rooms
from crocusshunt.gateway._settings import DeliveryPolicy
from crocusshunt.gateway._shares import RegionSplit
from crocusshunt.gateway._suspects import SuspectRegistry
from crocusshunt.replication import Feed


@dataclass(frozen=True, slots=True)
class DispatchContext:
    """What the dispatcher needs from the rest of the gateway.

    :param region: region of this host.
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
    state = ServerState(ServerLoads(), OutlierDetector(policy.ejection))
    split = RegionSplit(context.region)
    context.feed.add_listener(split.follow)
    picker = ServerPicker(
        context.admission_control,
        state,
        context.clock,
        context.source,
        split,
    )
    parts = DispatchParts(
        Rooms(picker, context.clock, policy.queue),
        state,
        context.forwarder,
        context.suspects,
        retries=RetryBudget(policy.retries),
        sheds=RetryBudget(policy.sheds),
    )
    return Dispatcher(parts, context.clock)
