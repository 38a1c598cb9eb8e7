"""Budget that limits retries to a small fraction of all requests."""

from collections import defaultdict
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Size of retry budgets.

    :param ratio: retries that each request adds to the budget.
    :param reserve: greatest number of retries that a budget can hold, and
        the number with which it starts.
    """

    ratio: float = 0.05
    reserve: float = 3


class RetryBudget:
    """Token bucket of retries for each customer and pool.

    Each request adds ``ratio`` retries, up to ``reserve``; each retry takes
    one.

    >>> budget = RetryBudget(BudgetSettings(ratio=0.5, reserve=1))
    >>> budget.spend('court', 'verify'), budget.spend('court', 'verify')
    (True, False)
    >>> budget.earn('court', 'verify')
    >>> budget.earn('court', 'verify')
    >>> budget.spend('court', 'verify')
    True
    """

    def __init__(self, settings: BudgetSettings) -> None:
        """Start each budget at its maximum, the reserve."""
        self._settings = settings
        self._saved: defaultdict[tuple[str, str], float] = defaultdict(
            lambda: settings.reserve,
        )

    def earn(self, customer: str, pool: str) -> None:
        """Add the share of a retry that a first attempt earns."""
        account = (customer, pool)
        earned = self._saved[account] + self._settings.ratio
        self._saved[account] = min(self._settings.reserve, earned)

    def spend(self, customer: str, pool: str) -> bool:
        """Take one retry; return whether the budget allowed it."""
        account = (customer, pool)
        if self._saved[account] < 1:
            return False
        self._saved[account] -= 1
        return True
