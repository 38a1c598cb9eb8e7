"""Admitted requests that wait for their final response."""

from dataclasses import dataclass

from crocusshunt.front._attempts import Outcome, RequestTemplate
from crocusshunt.front._placements import PlacementRequest
from crocusshunt.front._trace import RequestTrace
from crocusshunt.placement import TrackedServer


@dataclass(slots=True)
class PendingRequest:
    """An admitted request without a final response.

    :param attempts: number of times it was sent to a server.
    :param first_sent_at: when the first attempt began, monotonic seconds.
    :param arrivals: attempts that may have reached a server.
    :param executions: attempts that a server may have executed.
    :param last_outcome: outcome of the last attempt, None before the first.
    :param last_server: server of the last attempt, None before the first.
    """

    request: PlacementRequest
    template: RequestTemplate
    trace: RequestTrace
    attempts: int = 0
    first_sent_at: float = 0
    arrivals: int = 0
    executions: int = 0
    last_outcome: Outcome | None = None
    last_server: TrackedServer | None = None
