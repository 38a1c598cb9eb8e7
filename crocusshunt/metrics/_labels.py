"""Metric labels with a bounded number of values."""

OTHER_LABEL = 'other'


class Labels:
    """Keeps the first values as they are and replaces all others by one.

    This bounds the number of time series, each of which costs memory.

    >>> labels = Labels(limit=1)
    >>> labels.bound('court'), labels.bound('bar'), labels.bound('court')
    ('court', 'other', 'court')
    """

    def __init__(self, limit: int) -> None:
        """Start without any values.

        :param limit: number of values that are kept as they are.
        """
        self._limit = limit
        self._kept: set[str] = set()

    def bound(self, label: str) -> str:
        """Return the label under which a value is counted."""
        if label in self._kept:
            return label
        if len(self._kept) >= self._limit:
            return OTHER_LABEL
        self._kept.add(label)
        return label
