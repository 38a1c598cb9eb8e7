"""Count of refusals that a single token bucket would not have made.

Reference: J. Turner, "New Directions in Communications", IEEE
Communications Magazine 24, 1986.
"""

from collections.abc import Iterable

from crocusshunt.metrics import EndedRequest
from crocusshunt.routing import Customer


def count_refused_within_rate(
    requests: Iterable[EndedRequest],
    customer: Customer,
) -> int:
    """Return how many refused requests were within a customer's rate.

    All requests of all hosts, refused or not, pass one token bucket; those
    that find a token there are within the rate and burst.

    :param requests: requests of the customer, in the order of arrival.

    >>> from crocusshunt.metrics import OutcomeKind
    >>> refused = EndedRequest(
    ...     'r1', 0, 1, 'addis', 'h1', OutcomeKind.not_run, 429,
    ... )
    >>> count_refused_within_rate((refused, refused), Customer('court', 1, 1))
    1
    """
    tokens = float(customer.burst)
    refilled_at: float | None = None
    refused_within_rate = 0
    for ended in requests:
        elapsed_s = 0 if refilled_at is None else ended.time - refilled_at
        refilled_at = ended.time
        tokens = min(customer.burst, tokens + elapsed_s * customer.rate)
        if tokens >= 1:
            tokens -= 1
            refused_within_rate += ended.is_refused
    return refused_within_rate
