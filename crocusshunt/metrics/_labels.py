"""Label values of bounded number."""

OTHER = 'other'


class Labels:
    """Keeps the first values as they are and joins the rest.

    >>> labels = Labels(limit=1)
    >>> labels.bound('court'), labels.bound('bar'), labels.bound('court')
    ('court', 'other', 'court')
    """

    def __init__(self, limit: int) -> None:
        """Start without values.

        :param limit: number of values kept as they are.
        """
        self._limit = limit
        self._kept: set[str] = set()

    def bound(self, label: str) -> str:
        """Return the label under which a value is counted."""
        if label in self._kept:
            return label
        if len(self._kept) >= self._limit:
            return OTHER
        self._kept.add(label)
        return label
