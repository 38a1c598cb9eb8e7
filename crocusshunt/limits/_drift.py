"""Durations that hold on clocks that run at different speeds."""

# Twice the 500 ppm at which a disciplined clock may be slewed.
DRIFT_RATIO = 0.001


def subtract_drift(duration_s: float) -> float:
    """Return a duration that is over on every clock when it is over here.

    :param duration_s: seconds granted by another host.

    >>> subtract_drift(10)
    9.99
    """
    return duration_s * (1 - DRIFT_RATIO)


def add_drift(duration_s: float) -> float:
    """Return a duration after which the given one is over on every clock.

    :param duration_s: seconds granted to another host.

    >>> round(add_drift(10), 2)
    10.01
    """
    return duration_s * (1 + DRIFT_RATIO)
