"""Requests of a route distributed over its targets by weight."""

from crocusshunt.catalog import Target


class WeightedSplit:
    """Smooth weighted round robin.

    After each round of requests every target has had its exact share.

    >>> split = WeightedSplit((Target('a', 3), Target('b', 1)))
    >>> [split.choose() for _turn in range(4)]
    ['a', 'a', 'b', 'a']
    """

    def __init__(self, targets: tuple[Target, ...]) -> None:
        """Start a round."""
        self.targets = targets
        self._total = sum(target.weight for target in targets)
        self._credits: dict[str, float] = {target.pool: 0 for target in targets}

    def choose(self) -> str:
        """Return the pool of the next request."""
        for target in self.targets:
            self._credits[target.pool] += target.weight
        chosen = max(self._credits, key=self._credits.__getitem__)
        self._credits[chosen] -= self._total
        return chosen
