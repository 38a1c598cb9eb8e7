"""Pools of routes that are split by weight."""

from crocusshunt.catalog import RouteRule, Target
from crocusshunt.placement import WeightedSplit


class TargetChooser:
    """Keeps each split route's round, anew when its targets change."""

    def __init__(self) -> None:
        """Start without rounds."""
        self._splits: dict[str, WeightedSplit] = {}

    def choose(self, route: RouteRule) -> str:
        """Return the pool for a route's next request."""
        targets: tuple[Target, ...] = route.targets
        if len(targets) == 1:
            return targets[0].pool
        split = self._splits.get(route.name)
        if split is None or split.targets != targets:
            split = WeightedSplit(targets)
            self._splits[route.name] = split
        return split.choose()
