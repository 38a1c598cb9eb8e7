"""Components that every request passes through."""

from dataclasses import dataclass, field

from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._forwarding import Forwarder
from crocusshunt.front._in_flight import InFlight
from crocusshunt.front._start_information import StartInformation
from crocusshunt.front._targets import TargetChooser
from crocusshunt.front._tokens import TokenService
from crocusshunt.metrics import Recorder


@dataclass(frozen=True, slots=True)
class HandlerComponents:
    """Components that every request passes through."""

    cluster: ClusterState
    tokens: TokenService
    forwarder: Forwarder
    recorder: Recorder
    in_flight: InFlight
    information: StartInformation
    targets: TargetChooser = field(default_factory=TargetChooser)
