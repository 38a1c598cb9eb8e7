"""A request that needs a server, and the decision on it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from crocusshunt.crashes import Origin
from crocusshunt.front._admission import Admission
from crocusshunt.placement import Candidate, TrackedServer

# Cause of a refusal where all servers asked this host to back off.
CAUSE_BACKOFF = 'server-backoff'
# Cause of a refusal of a request that may go to few servers only.
CAUSE_ISOLATED = 'isolated'


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that needs a server.

    :param key: input of the ranking: the request's object, or its id.
    :param objective_at: time at which its latency objective is missed,
        monotonic seconds.
    :param final_at: deadline of its response, monotonic seconds.
    :param tried: servers that it was already sent to.
    :param is_isolated: whether it may crash servers and goes to few of them.
    """

    admission: Admission
    pool: str
    key: str
    objective_at: float
    final_at: float
    tried: frozenset[str] = frozenset()
    is_isolated: bool = False

    @property
    def origin(self) -> Origin:
        """Return where it comes from and goes to."""
        customer = self.admission.customer
        return Origin(
            self.pool,
            self.admission.route.name,
            '' if customer is None else customer.name,
        )


@dataclass(frozen=True, slots=True)
class Placement:
    """The server chosen for a request, or why there is none.

    :param server: None where no server can take the request.
    :param is_preferred: whether the server is first in the request's ranking.
    :param wait_s: without a server, seconds until one may have room.
    :param cause: without a server, the code of the reason.
    :param finish_s: expected seconds until the response.
    :param considered: without room, the servers that were compared.
    :param rules: without room, the rule by which a compared server with a
        free slot was not taken, by its name.
    """

    server: TrackedServer | None
    is_preferred: bool = False
    wait_s: float = 0
    cause: str = ''
    finish_s: float = 0
    considered: tuple[Candidate, ...] = ()
    rules: Mapping[str, str] = field(default_factory=dict)

    @property
    def fastest_s(self) -> float:
        """Return the shortest time in a slot and network, in seconds."""
        return min(
            (one.service_s + one.round_trip_s for one in self.considered),
            default=0,
        )
