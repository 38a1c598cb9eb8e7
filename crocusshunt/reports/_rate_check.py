"""One token bucket for a customer, as the measure of wrongful refusals.

Reference: J. Turner, "New Directions in Communications", IEEE
Communications Magazine 24, 1986.
"""

from collections.abc import Iterable

from crocusshunt.metrics import EndedRequest
from crocusshunt.routing import Customer


def count_wrongful(
    requests: Iterable[EndedRequest],
    customer: Customer,
) -> int:
    """Return how many refused requests were within a customer's rate.

    Every request, refused or not, passes one bucket that sees all hosts;
    those that found a token there were within the rate and burst.

    :param requests: requests of the customer, in the order of arrival.

    >>> from crocusshunt.metrics import OutcomeKind
    >>> refused = EndedRequest(
    ...     'r1', 0, 1, 'addis', 'h1', OutcomeKind.not_run, 429,
    ... )
    >>> count_wrongful((refused, refused), Customer('court', 1, 1))
    1
    """
    tokens = float(customer.burst)
    filled_at: float | None = None
    wrongful = 0
    for ended in requests:
        elapsed_s = 0 if filled_at is None else ended.time - filled_at
        filled_at = ended.time
        tokens = min(customer.burst, tokens + elapsed_s * customer.rate)
        if tokens >= 1:
            tokens -= 1
            wrongful += ended.is_refused
    return wrongful
