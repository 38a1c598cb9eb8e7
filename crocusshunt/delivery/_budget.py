"""Budget that keeps retries a small part of all requests."""

from collections import defaultdict
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Size of retry budgets.

    :param ratio: retries earned by each request.
    :param reserve: greatest number of retries saved up.
    """

    ratio: float = 0.05
    reserve: float = 3


class RetryBudget:
    """Counts retries per customer and pool against requests.

    >>> budget = RetryBudget(BudgetSettings(ratio=0.5, reserve=1))
    >>> budget.spend('court', 'verify'), budget.spend('court', 'verify')
    (True, False)
    >>> budget.earn('court', 'verify')
    >>> budget.earn('court', 'verify')
    >>> budget.spend('court', 'verify')
    True
    """

    def __init__(self, settings: BudgetSettings) -> None:
        """Start each budget with its reserve."""
        self._settings = settings
        self._saved: defaultdict[tuple[str, str], float] = defaultdict(
            lambda: settings.reserve,
        )

    def earn(self, customer: str, pool: str) -> None:
        """Count a request that was offered."""
        account = (customer, pool)
        earned = self._saved[account] + self._settings.ratio
        self._saved[account] = min(self._settings.reserve, earned)

    def spend(self, customer: str, pool: str) -> bool:
        """Take a retry; return whether the budget had one."""
        account = (customer, pool)
        if self._saved[account] < 1:
            return False
        self._saved[account] -= 1
        return True
