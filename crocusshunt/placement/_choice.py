"""Choice among ranked servers, by when each would finish a request."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """How far down the ranking a request may go, and how late it may end.

    :param replicas: servers, each of another region, that are considered;
        one that another region prefers for an object is warm as well.
    :param unfamiliar: factor on the time at a server that has not handled
        the object lately.
    :param gain: a later server must finish within this part of the
        preferred server's time.
    :param room_per_slot: requests a slot above which a server takes only
        the most urgent requests of its pool.
    """

    replicas: int = 2
    unfamiliar: float = 2
    gain: float = 0.6
    room_per_slot: float = 1.2


@dataclass(frozen=True, slots=True)
class RequestConstraints:
    """What one request needs of a server.

    :param objective_left_s: until the latency objective is missed.
    :param time_left_s: until the answer is of no use.
    :param is_urgent: whether nothing of its pool is more urgent.
    """

    objective_left_s: float
    time_left_s: float
    is_urgent: bool = True


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server in the order of preference.

    :param load: requests running or waiting there.
    :param service_s: expected time of the request in a slot, in seconds.
    :param slot_release_s: expected time until a busy slot is free, in seconds.
    :param round_trip_s: round trip to it, in seconds.
    :param has_recent_object: whether it has handled the object lately.
    """

    name: str
    slots: int
    load: float
    service_s: float
    slot_release_s: float
    round_trip_s: float = 0
    has_recent_object: bool = True

    @property
    def wait_s(self) -> float:
        """Return the expected wait for a slot, in seconds."""
        behind = max(0, self.load + 1 - self.slots)
        return behind / self.slots * self.slot_release_s

    @property
    def next_slot_s(self) -> float:
        """Return the expected time until one more slot is free, in seconds."""
        behind = max(1, self.load + 1 - self.slots)
        return behind / self.slots * self.slot_release_s

    def finish_s(self, unfamiliar: float) -> float:
        """Return the expected time until the answer, in seconds."""
        factor = 1 if self.has_recent_object else unfamiliar
        return self.wait_s + self.service_s * factor + self.round_trip_s


@dataclass(frozen=True, slots=True)
class Choice:
    """What to do with a request now.

    :param index: rank of the server that gets it, None for no server.
    :param finish_s: expected time until its answer.
    :param next_slot_s: without a server, until one may have room.
    """

    index: int | None
    finish_s: float
    next_slot_s: float = 0


def choose_server(
    need: RequestConstraints,
    ranked: Sequence[Candidate],
    settings: ChoiceSettings,
) -> Choice:
    """Return the server that serves a request best.

    The preferred server keeps the object warm, so a request costs it least.
    Another one is chosen only where the preferred one would miss the
    objective and the other is clearly earlier, or has room where the
    preferred one has none. A request that none has room for is turned away
    at once: what runs beyond the room would make all others late.

    >>> need = RequestConstraints(objective_left_s=0.6, time_left_s=4)
    >>> full = Candidate('s1', 4, 9, 0.2, 0.3)
    >>> free = Candidate('s2', 4, 0, 0.2, 0.3)
    >>> choose_server(need, (full, free), ChoiceSettings()).index
    1
    >>> choose_server(need, (free, full), ChoiceSettings()).index
    0
    """
    times = [one.finish_s(settings.unfamiliar) for one in ranked]
    order = list(range(len(ranked)))
    if times[0] > need.objective_left_s:
        by_time = sorted(order, key=times.__getitem__)
        if times[by_time[0]] <= settings.gain * times[0]:
            order = by_time
    for index in order:
        if _has_room(need, ranked[index], times[index], settings):
            return Choice(index, times[index])
    return Choice(None, times[0], min(one.next_slot_s for one in ranked))


def _has_room(
    need: RequestConstraints,
    server: Candidate,
    finish_s: float,
    settings: ChoiceSettings,
) -> bool:
    if server.load + 1 <= server.slots:
        # It can begin at once; how long it takes is a guess.
        return True
    if finish_s > need.time_left_s:
        return False
    if need.is_urgent:
        return True
    return server.load < settings.room_per_slot * server.slots
