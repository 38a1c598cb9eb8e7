"""Measured demand."""

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class _Meter:
    rate: float = 0
    at: float = 0


@dataclass(slots=True)
class DemandMeter:
    """Exponentially weighted rates, by name.

    :param memory_s: time after which an event counts a third, in seconds.

    >>> meter = DemandMeter(memory_s=1)
    >>> for turn in range(50):
    ...     meter.count('court', turn / 10)
    >>> 9 < meter.rate('court', 5) < 11
    True
    """

    memory_s: float = 3
    _meters: dict[str, _Meter] = field(default_factory=dict)

    def count(self, name: str, now: float, amount: float = 1) -> None:
        """Take an event."""
        meter = self._meters.setdefault(name, _Meter(0, now))
        self._decay(meter, now)
        meter.rate += amount / self.memory_s

    def rate(self, name: str, now: float) -> float:
        """Return the present rate, in events a second."""
        meter = self._meters.get(name)
        if meter is None:
            return 0
        self._decay(meter, now)
        return meter.rate

    def rates(self, now: float, least: float = 0.05) -> dict[str, float]:
        """Return all rates that are not negligible."""
        found = {name: self.rate(name, now) for name in self._meters}
        return {name: rate for name, rate in found.items() if rate >= least}

    def _decay(self, meter: _Meter, now: float) -> None:
        age_s = max(0, now - meter.at)
        meter.rate *= math.exp(-age_s / self.memory_s)
        meter.at = now
