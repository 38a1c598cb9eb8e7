"""Which faults come when, drawn from a seed."""

import random
from dataclasses import dataclass

# Faults end this long before the end, so that recovery can be seen.
_CALM_END_S = 7
_CALM_START_S = 3
_SHORTEST_S = 0.3
_LONGEST_S = 5
_MEAN_GAP_S = 1.2


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One fault.

    :param at: seconds after the start of the calls.
    :param place: draws the target, in [0, 1).
    """

    kind: str
    at: float
    for_s: float
    place: float


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """One soak.

    :param kinds: names of the faults to draw from.
    :param per_s: calls a second.
    :param workdir: where settings files and logs of the hosts go.
    """

    seed: int
    seconds: float
    hosts: int
    servers: int
    kinds: tuple[str, ...]
    per_s: float = 40
    workdir: str = ''

    @property
    def calm_from_s(self) -> float:
        """Return the moment from which no fault lasts."""
        return self.seconds - _CALM_END_S


def plan_faults(settings: SoakSettings) -> tuple[PlannedFault, ...]:
    """Draw faults that come in series and overlap.

    >>> calm = SoakSettings(1, 5, 2, 2, ('kill-host',))
    >>> plan_faults(calm)
    ()
    >>> busy = SoakSettings(1, 30, 2, 2, ('kill-host', 'pause-host'))
    >>> plan_faults(busy) == plan_faults(busy)
    True
    """
    draw = random.Random(settings.seed)
    found = []
    at = _CALM_START_S + draw.expovariate(1 / _MEAN_GAP_S)
    while at < settings.calm_from_s - _SHORTEST_S:
        longest = min(_LONGEST_S, settings.calm_from_s - at)
        fault = PlannedFault(
            kind=draw.choice(settings.kinds),
            at=at,
            for_s=draw.uniform(_SHORTEST_S, longest),
            place=draw.random(),
        )
        found.append(fault)
        at += draw.expovariate(1 / _MEAN_GAP_S)
    return tuple(found)
