"""Routes that operators add, version after version."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from crocusshunt.standin import describe_route

# Routes that nobody calls; the oldest ones leave when there are more.
_MAX_OTHER_COUNT = 4200


@dataclass(slots=True)
class AddedRoutes:
    """Routes of a configuration beside those of the usual calls."""

    # What they are named does not matter.
    _rng: random.Random = field(default_factory=partial(random.Random, 0))
    _called: list[str] = field(default_factory=list)
    _others: list[str] = field(default_factory=list)

    def add(self, count: int) -> str:
        """Add routes; return the prefix of the one that is to be called."""
        prefix = f'/added-{len(self._called)}/'
        self._called.append(prefix)
        self._others.extend(
            f'/other/{self._rng.random()}/' for _number in range(count)
        )
        del self._others[:-_MAX_OTHER_COUNT]  # noqa: WPS420
        return prefix

    def describe(self, pool: str) -> Iterator[dict[str, Any]]:
        """Return the specifications of the routes, which lead to a pool."""
        for prefix in (*self._called, *self._others):
            yield describe_route(prefix=prefix, service=pool)
