"""Choice among ranked servers by their expected completion times."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """Limits on the choice of a server other than the preferred one.

    :param replicas: highest number of servers considered, each of another
        region; the server that another region prefers for an object usually
        holds the object in memory too.
    :param cold_object_factor: factor on the service time at a server that
        has not handled the object recently.
    :param max_time_ratio: another server is chosen before the preferred one
        only if its expected completion time is at most this fraction of the
        preferred server's.
    :param max_load_per_slot: requests per slot above which a server accepts
        only the most urgent requests of its pool.
    """

    replicas: int = 4
    cold_object_factor: float = 2
    max_time_ratio: float = 0.6
    max_load_per_slot: float = 1.2


@dataclass(frozen=True, slots=True)
class RequestConstraints:
    """Time limits and urgency of one request.

    :param objective_left_s: time until the latency objective is missed, in
        seconds.
    :param time_left_s: time until the deadline, after which an answer is of
        no use, in seconds.
    :param is_urgent: whether no route to its pool has a more urgent priority.
    """

    objective_left_s: float
    time_left_s: float
    is_urgent: bool = True


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server considered for a request, with its expected times.

    :param slots: requests that it runs at once.
    :param load: estimated number of requests running or waiting there.
    :param service_s: expected time of the request in a slot, in seconds.
    :param slot_release_s: expected time for which a request occupies a slot,
        in seconds.
    :param round_trip_s: network round trip to the server, in seconds.
    :param has_recent_object: whether it has handled the object recently.
    """

    name: str
    slots: int
    load: float
    service_s: float
    slot_release_s: float
    round_trip_s: float = 0
    has_recent_object: bool = True

    @property
    def has_free_slot(self) -> bool:
        """Tell whether a request would start at once."""
        return self.load + 1 <= self.slots

    @property
    def wait_s(self) -> float:
        """Return the expected wait for a slot, in seconds.

        This is the request's position in the queue, divided by the number of
        slots, times the time for which a request occupies a slot.
        """
        queue_position = max(0, self.load + 1 - self.slots)
        return queue_position * self.release_interval_s

    @property
    def release_interval_s(self) -> float:
        """Return the mean time between releases of its slots, in seconds."""
        return self.slot_release_s / self.slots

    @property
    def next_slot_s(self) -> float:
        """Return the expected time until another slot is free, in seconds.

        Unlike :attr:`wait_s` it is never zero: even with free slots it is the
        time until one busy slot is released, divided by the number of slots.
        """
        queue_position = max(1, self.load + 1 - self.slots)
        return queue_position * self.release_interval_s

    def estimate_finish(self, cold_object_factor: float) -> float:
        """Return the expected time until the answer, in seconds.

        :param cold_object_factor: see :class:`ChoiceSettings`.
        """
        factor = 1 if self.has_recent_object else cold_object_factor
        return self.wait_s + self.service_s * factor + self.round_trip_s


@dataclass(frozen=True, slots=True)
class Choice:
    """The server chosen for a request, or that none has capacity.

    :param index: position of the chosen server among the candidates, None
        if none has capacity.
    :param finish_s: expected time until the answer, in seconds; that of the
        preferred server if none was chosen.
    :param next_slot_s: if no server was chosen, expected time until one may
        have a free slot, in seconds.
    """

    index: int | None
    finish_s: float
    next_slot_s: float = 0


def choose_server(
    constraints: RequestConstraints,
    ranked: Sequence[Candidate],
    settings: ChoiceSettings,
) -> Choice:
    """Choose the server for a request among ranked candidates.

    The preferred server usually holds the object in memory, so it serves the
    request at the lowest cost. Another one is chosen only if the preferred
    one would miss the latency objective and the other is expected to finish
    clearly earlier, or if the preferred one has no capacity and the other
    has. A request for which no candidate has capacity is refused at once:
    requests accepted beyond the capacity would delay all others.

    :param ranked: candidates in order of preference, at least one.

    >>> constraints = RequestConstraints(objective_left_s=0.6, time_left_s=4)
    >>> full = Candidate('s1', 4, 9, 0.2, 0.3)
    >>> free = Candidate('s2', 4, 0, 0.2, 0.3)
    >>> choose_server(constraints, (full, free), ChoiceSettings()).index
    1
    >>> choose_server(constraints, (free, full), ChoiceSettings()).index
    0
    """
    times = [one.estimate_finish(settings.cold_object_factor) for one in ranked]
    order = list(range(len(ranked)))
    if times[0] > constraints.objective_left_s:
        by_finish_time = sorted(order, key=times.__getitem__)
        if times[by_finish_time[0]] <= settings.max_time_ratio * times[0]:
            order = by_finish_time
    for index in order:
        if _has_capacity(constraints, ranked[index], times[index], settings):
            return Choice(index, times[index])
    return Choice(None, times[0], min(one.next_slot_s for one in ranked))


def _has_capacity(
    constraints: RequestConstraints,
    server: Candidate,
    finish_s: float,
    settings: ChoiceSettings,
) -> bool:
    if server.has_free_slot:
        # The request can start at once. Its expected time is only an estimate
        # and no reason to refuse it.
        return True
    if finish_s > constraints.time_left_s:
        return False
    if constraints.is_urgent:
        return True
    return server.load < settings.max_load_per_slot * server.slots
