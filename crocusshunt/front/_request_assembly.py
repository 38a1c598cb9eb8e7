"""Construction of the components that requests pass through."""

from crocusshunt.core import Clock
from crocusshunt.front._dispatch import Dispatcher
from crocusshunt.front._eligible_servers import EligibleServers
from crocusshunt.front._exchange import Exchanger
from crocusshunt.front._forwarding import Forwarder
from crocusshunt.front._handler import RequestHandler
from crocusshunt.front._handler_components import HandlerComponents
from crocusshunt.front._in_flight import InFlight
from crocusshunt.front._placement import Placer
from crocusshunt.front._refusals import RefusalAdvisor
from crocusshunt.front._relay import Relay
from crocusshunt.front._retry_rules import RetryRules
from crocusshunt.front._settings import HeaderNames
from crocusshunt.front._shared_parts import SharedParts
from crocusshunt.front._start_information import StartInformation
from crocusshunt.placement import ChoiceSettings


def create_handler(
    parts: SharedParts,
    names: HeaderNames,
    information: StartInformation,
    clock: Clock,
) -> RequestHandler:
    """Create the components that a request passes through."""
    cluster = parts.cluster
    eligible = EligibleServers(cluster, parts.state, clock)
    placer = Placer(cluster, parts.state, eligible, ChoiceSettings(), clock)
    retries = parts.tokens.limits.retries
    in_flight = InFlight()
    dispatcher = Dispatcher(
        placer,
        RefusalAdvisor(cluster, parts.state, placer, eligible, clock),
        Exchanger(
            cluster, parts.state, parts.crashes, parts.reach, names, clock
        ),
        parts.crashes,
        RetryRules(parts.crashes.isolation, parts.reach, retries, clock),
        in_flight,
        clock,
    )
    components = HandlerComponents(
        cluster=cluster,
        tokens=parts.tokens,
        forwarder=Forwarder(
            dispatcher,
            Relay(cluster, parts.state, names, clock),
            parts.reach,
            retries,
        ),
        recorder=parts.metrics,
        in_flight=in_flight,
        information=information,
    )
    return RequestHandler(components, names, clock)
