"""Whether this host takes requests."""

from collections.abc import Callable
from dataclasses import dataclass

from crocusshunt.front._handler import InFlight
from crocusshunt.front._knowledge import Knowledge


@dataclass(frozen=True, slots=True)
class Readiness:
    """Ready once configuration and servers are known, until the stop."""

    knowledge: Knowledge
    in_flight: InFlight
    has_servers: Callable[[], bool]

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        if self.in_flight.is_leaving or self.knowledge.index is None:
            return False
        return self.has_servers()
