"""Claims that keep a non-idempotent request from running twice.

A claim is a stored row per customer and idempotency key. Only the attempt
that inserted the row may send the request. Nobody takes a claim over before it
expires, so a gateway that resumes after a long pause can at worst send a
request that nobody else has sent.
"""

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

import msgspec

from crocusshunt.delivery._outcomes import (
    AnsweredBefore,
    NotRun,
    UnknownOutcome,
)

_STATUS_CONFLICT = 409
_STATUS_UNPROCESSABLE = 422
_IN_PROGRESS_RETRY_S = 1
_SKEW_MARGIN_S = 60
_DIGEST_BYTES = 32


class ClaimState(str, Enum):
    """Progress of the claimed request."""

    claimed = 'claimed'
    released = 'released'
    answered = 'answered'
    unknown = 'unknown'


class Claimant(msgspec.Struct, frozen=True):
    """The attempt that holds a claim.

    :param host: name of the gateway's host.
    :param process: identifies the gateway process; new at each start.
    :param attempt: identifier of the caller's request.
    """

    host: str
    process: str
    attempt: str


class RecordedAnswer(msgspec.Struct, frozen=True):
    """Stored response to a claimed request, replayed to repetitions.

    :param body: the complete body, None if it was too large to store.
    """

    status: int
    content_type: str
    body: bytes | None


class Claim(msgspec.Struct, frozen=True):
    """Encoded body of a claim's row.

    :param fingerprint: digest of the claimed request.
    :param ends_at: Unix time, in seconds, by which the request has ended.
    :param expires_at: Unix time, in seconds, after which the idempotency key
        may be used for another request.
    """

    claimant: Claimant
    fingerprint: str
    ends_at: float
    expires_at: float
    state: ClaimState = ClaimState.claimed
    answer: RecordedAnswer | None = None


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """The existing claim belongs to the same attempt."""


@dataclass(frozen=True, slots=True)
class ClaimFree:
    """The existing claim was released or has expired; it may be replaced."""


ClaimVerdict = (
    ClaimHeld
    | ClaimFree
    | RecordedAnswer
    | AnsweredBefore
    | NotRun
    | UnknownOutcome
)


def evaluate_claim(found: Claim, wanted: Claim, now: float) -> ClaimVerdict:
    """Decide how to treat a request whose idempotency key has a claim.

    :param found: the stored claim.
    :param wanted: the claim that the request would insert.
    :param now: Unix time, in seconds.
    """
    if found.claimant == wanted.claimant:
        return ClaimHeld()
    is_expired = now > found.expires_at + _SKEW_MARGIN_S
    if is_expired or found.state is ClaimState.released:
        return ClaimFree()
    if found.fingerprint != wanted.fingerprint:
        return NotRun(
            'idempotency-key-reused',
            _STATUS_UNPROCESSABLE,
            'the idempotency key belongs to another request',
        )
    return _evaluate_repetition(found, now)


def fingerprint_request(method: str, target: str, body_digest: bytes) -> str:
    """Return a digest that identifies a request by its content.

    Each part is hashed with its length, so that different requests can't
    yield the same input.

    :param target: path and query, without API keys.
    :param body_digest: digest of the body.

    >>> one = fingerprint_request('POST', '/a', b'x')
    >>> one == fingerprint_request('POST', '/ax', b'')
    False
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (method.encode(), target.encode(), body_digest):
        digest.update(str(len(part)).encode())
        digest.update(b':')
        digest.update(part)
    return digest.hexdigest()


def _evaluate_repetition(
    found: Claim,
    now: float,
) -> RecordedAnswer | AnsweredBefore | UnknownOutcome:
    if found.answer is not None:
        if found.answer.body is None:
            return AnsweredBefore(found.answer.status)
        return found.answer
    if found.state is ClaimState.claimed and now <= found.ends_at:
        return UnknownOutcome(
            'request-in-progress',
            _STATUS_CONFLICT,
            'the request with this idempotency key has not ended',
            _IN_PROGRESS_RETRY_S,
        )
    return UnknownOutcome(
        'outcome-unknown',
        _STATUS_CONFLICT,
        'the request with this idempotency key may have run; '
        'ask the service whether it did, a new key would run it again',
    )
