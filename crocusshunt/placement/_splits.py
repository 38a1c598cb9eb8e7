"""Distribution of a route's requests over its targets by weight."""

from crocusshunt.catalog import Target


class WeightedSplit:
    """Smooth weighted round robin.

    With whole weights, every target gets exactly its share in each series of
    as many requests as the sum of the weights.

    >>> split = WeightedSplit((Target('a', 3), Target('b', 1)))
    >>> [split.choose() for _turn in range(4)]
    ['a', 'a', 'b', 'a']
    """

    def __init__(self, targets: tuple[Target, ...]) -> None:
        """Start a first round."""
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
