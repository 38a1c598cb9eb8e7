"""Plan of the faults, drawn at random from a seed."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar

# All faults end this long before the end, so that recovery can be checked.
_QUIET_END_S = 7
_QUIET_START_S = 3
_MIN_DURATION_S = 0.3
_MAX_DURATION_S = 5
_MEAN_GAP_S = 1.2
_MILLISECONDS = 1000

_Variant = TypeVar('_Variant')


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One fault to inject.

    :param kind: name of the fault.
    :param at: when it begins, in seconds after the start of the calls.
    :param for_s: how long it lasts, in seconds.
    :param place: which host or server it hits: a fraction of the list of
        targets, in [0, 1).
    """

    kind: str
    at: float
    for_s: float
    place: float

    def pick(self, variants: Sequence[_Variant]) -> _Variant:
        """Return one of several variants, always the same for this fault."""
        return variants[int(self.for_s * _MILLISECONDS) % len(variants)]


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """Settings of one soak test.

    :param seconds: how long calls are sent.
    :param hosts: number of hosts, each a process.
    :param servers: number of backend servers in a pool.
    :param kinds: names of the faults to draw from.
    :param calls_per_s: mean rate in calls a second.
    :param workdir: directory for settings files and logs of the hosts.
    """

    seed: int
    seconds: float
    hosts: int
    servers: int
    kinds: tuple[str, ...]
    calls_per_s: float = 40
    workdir: str = ''

    @property
    def faults_end_s(self) -> float:
        """Return when all faults have ended, in seconds after the start."""
        return self.seconds - _QUIET_END_S


def plan_faults(settings: SoakSettings) -> tuple[PlannedFault, ...]:
    """Draw faults at random; they may overlap.

    The times between their beginnings are exponentially distributed.

    >>> quiet = SoakSettings(1, 5, 2, 2, ('kill-host',))
    >>> plan_faults(quiet)
    ()
    >>> busy = SoakSettings(1, 30, 2, 2, ('kill-host', 'pause-host'))
    >>> plan_faults(busy) == plan_faults(busy)
    True
    """
    rng = random.Random(settings.seed)
    faults = []
    at = _QUIET_START_S + rng.expovariate(1 / _MEAN_GAP_S)
    while at < settings.faults_end_s - _MIN_DURATION_S:
        max_duration_s = min(_MAX_DURATION_S, settings.faults_end_s - at)
        fault = PlannedFault(
            kind=rng.choice(settings.kinds),
            at=at,
            for_s=rng.uniform(_MIN_DURATION_S, max_duration_s),
            place=rng.random(),
        )
        faults.append(fault)
        at += rng.expovariate(1 / _MEAN_GAP_S)
    return tuple(faults)
