"""Traffic splits of routes between pools."""

from crocusshunt.catalog import RouteRule, Target
from crocusshunt.placement import WeightedSplit


class TargetChooser:
    """Chooses the pool of each request by the weights of its route.

    Each route with several targets has its own weighted split, which restarts
    when the targets change.
    """

    def __init__(self) -> None:
        """Start without splits."""
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
