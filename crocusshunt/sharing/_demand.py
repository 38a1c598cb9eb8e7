"""Measurement of the rate of requests offered to this host."""

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class _Meter:
    rate: float = 0
    updated_at: float = 0


@dataclass(slots=True)
class DemandMeter:
    """Exponentially weighted event rates, by name.

    :param time_constant_s: time in which the weight of an event falls to 1/e,
        about a third, in seconds.

    >>> meter = DemandMeter(time_constant_s=1)
    >>> for turn in range(50):
    ...     meter.count('court', turn / 10)
    >>> 9 < meter.rate('court', 5) < 11
    True
    """

    time_constant_s: float = 3
    _meters: dict[str, _Meter] = field(default_factory=dict)

    def count(self, name: str, now: float, amount: float = 1) -> None:
        """Count an event.

        :param now: monotonic seconds.
        """
        meter = self._meters.setdefault(name, _Meter(0, now))
        self._decay(meter, now)
        meter.rate += amount / self.time_constant_s

    def rate(self, name: str, now: float) -> float:
        """Return the current rate, in events a second."""
        meter = self._meters.get(name)
        if meter is None:
            return 0
        self._decay(meter, now)
        return meter.rate

    def rates(self, now: float, min_rate: float = 0.05) -> dict[str, float]:
        """Return all rates that are not negligible, in events a second."""
        found = {name: self.rate(name, now) for name in self._meters}
        return {name: rate for name, rate in found.items() if rate >= min_rate}

    def _decay(self, meter: _Meter, now: float) -> None:
        age_s = max(0, now - meter.updated_at)
        meter.rate *= math.exp(-age_s / self.time_constant_s)
        meter.updated_at = now
