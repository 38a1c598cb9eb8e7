"""Delivery of a request to a backend server."""

from crocusshunt.delivery._forwarding import Attempt, Forwarder, ForwardRequest
from crocusshunt.delivery._headers import (
    CUSTOMER_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    find_keys,
    prepare_answer_headers,
    prepare_request_headers,
    strip_keys_from_query,
)
from crocusshunt.delivery._outcomes import (
    Answered,
    NotRun,
    Outcome,
    Problem,
    UnknownOutcome,
    describe_failure,
)
from crocusshunt.delivery._selection import ServerLoads, choose_server

__all__ = (
    'CUSTOMER_HEADER',
    'DEADLINE_HEADER',
    'IDEMPOTENCY_HEADER',
    'KEY_HEADER',
    'REQUEST_ID_HEADER',
    'Answered',
    'Attempt',
    'ForwardRequest',
    'Forwarder',
    'NotRun',
    'Outcome',
    'Problem',
    'ServerLoads',
    'UnknownOutcome',
    'choose_server',
    'describe_failure',
    'find_keys',
    'prepare_answer_headers',
    'prepare_request_headers',
    'strip_keys_from_query',
)
