"""Durations corrected for the drift between the clocks of two hosts."""

# Twice the 500 ppm at which a disciplined clock may be slewed.
DRIFT_RATIO = 0.001


def subtract_drift(duration_s: float) -> float:
    """Return a duration that ends here before the given one ends elsewhere.

    It is shorter by the greatest drift.

    :param duration_s: seconds granted by another host.

    >>> subtract_drift(10)
    9.99
    """
    return duration_s * (1 - DRIFT_RATIO)


def add_drift(duration_s: float) -> float:
    """Return a duration that ends here after the given one ends elsewhere.

    It is longer by the greatest drift.

    :param duration_s: seconds granted to another host.

    >>> round(add_drift(10), 2)
    10.01
    """
    return duration_s * (1 + DRIFT_RATIO)
