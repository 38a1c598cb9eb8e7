"""Choice among ranked servers, by when each would finish a request."""

from collections.abc import Sequence
from dataclasses import dataclass

_LATE_COST = 2


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """How far down the ranking a request may go.

    :param considered: servers looked at, best rank first.
    :param room_per_slot: requests a slot at which a server counts as full
        for the least urgent requests.
    :param queue_per_slot: requests a slot that a server takes at most.
    """

    considered: int = 4
    room_per_slot: float = 1.2
    queue_per_slot: float = 3


@dataclass(frozen=True, slots=True)
class Need:
    """What one request needs of a server.

    :param preferred_s: expected time at its preferred server, in seconds.
    :param other_s: expected time at any other server, in seconds.
    :param objective_left_s: until the latency objective is missed.
    :param time_left_s: until the answer is of no use.
    :param is_urgent: whether nothing of its pool is more urgent.
    """

    preferred_s: float
    other_s: float
    objective_left_s: float
    time_left_s: float
    is_urgent: bool = True


@dataclass(frozen=True, slots=True)
class Ranked:
    """A server in the order of preference.

    :param load: requests running or waiting there.
    :param distance_s: round trip to it, in seconds.
    """

    name: str
    slots: int
    load: float
    distance_s: float = 0

    def wait_s(self, service_s: float) -> float:
        """Return the expected wait for a slot, in seconds."""
        behind = max(0, self.load + 1 - self.slots)
        return behind / self.slots * service_s


@dataclass(frozen=True, slots=True)
class Choice:
    """What to do with a request now.

    :param index: rank of the server that gets it, None for no server.
    :param finish_s: expected time until its answer; without a server, until
        one may have room.
    """

    index: int | None
    finish_s: float


def choose_server(
    need: Need,
    ranked: Sequence[Ranked],
    settings: ChoiceSettings,
) -> Choice:
    """Return the server that serves a request best.

    The preferred server is about as fast with a short queue as others are
    without one, and a request costs it less of its slots. So others are
    chosen only where the preferred one would miss the objective and they
    would not, or where it would miss the deadline.

    >>> need = Need(0.2, 0.8, objective_left_s=0.6, time_left_s=4)
    >>> full, free = Ranked('s1', 4, 5), Ranked('s2', 4, 0)
    >>> choose_server(need, (full, free), ChoiceSettings()).index
    0
    """
    best = Choice(None, float('inf'))
    best_cost = float('inf')
    soonest = float('inf')
    for index, server in enumerate(ranked[: settings.considered]):
        service_s = need.other_s if index else need.preferred_s
        wait_s = server.wait_s(need.preferred_s)
        finish_s = wait_s + service_s + server.distance_s
        soonest = min(soonest, wait_s)
        if not _has_room(server, need, settings, finish_s):
            continue
        cost = _find_cost(need, finish_s, service_s, index)
        if cost < best_cost:
            best = Choice(index, finish_s)
            best_cost = cost
    if best.index is None:
        return Choice(None, soonest)
    return best


def _has_room(
    server: Ranked,
    need: Need,
    settings: ChoiceSettings,
    finish_s: float,
) -> bool:
    per_slot = settings.queue_per_slot
    if not need.is_urgent:
        per_slot = settings.room_per_slot
    if server.load >= per_slot * server.slots:
        return False
    return finish_s <= need.time_left_s


def _find_cost(
    need: Need,
    finish_s: float,
    service_s: float,
    index: int,
) -> float:
    is_late = finish_s > need.objective_left_s
    cost = finish_s + (_LATE_COST * need.objective_left_s if is_late else 0)
    if index:
        # The longer use of another server's slot delays its own requests.
        cost += service_s - need.preferred_s
    return cost
