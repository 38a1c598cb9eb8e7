"""Limit of a customer's rate on one request."""

import asyncio

from crocusshunt.front._admission import Admission
from crocusshunt.front._outcomes import Refusal, Status
from crocusshunt.front._tokens import TokenService

# How long a request may wait for a token, as a share of the latency objective.
# A host's part of a rate is small, so the gaps between tokens are noticeable.
_TOKEN_WAIT_SHARE = 0.3
# Rate shares change each second, so a longer wait cannot be predicted.
_MAX_REPORTED_WAIT_S = 2


async def apply_rate_limit(
    tokens: TokenService, admission: Admission
) -> Refusal | None:
    """Take a token of a request's customer, and wait for it if needed.

    :return: the refusal, None if the request may go on.
    """
    customer = admission.customer
    if customer is None:
        return None
    max_wait_s = _TOKEN_WAIT_SHARE * admission.route.objective_s
    grant = await tokens.take(customer, max_wait_s)
    if not grant.is_granted:
        wait_s = min(grant.wait_s, _MAX_REPORTED_WAIT_S)
        return Refusal(Status.too_many, 'over-rate', wait_s)
    try:
        await asyncio.sleep(grant.wait_s)
    except asyncio.CancelledError:
        tokens.put_back(customer.name)
        raise
    return None
