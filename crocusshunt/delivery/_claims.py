"""Claims that keep a non-idempotent request from running twice.

A claim is a row per customer and idempotency key. Whoever inserted it may
send the request; a claim is never taken over before it expires, so that a
gateway which wakes late can at worst send what nobody else has sent.
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
    """How far the claimed request came."""

    claimed = 'claimed'
    released = 'released'
    answered = 'answered'
    unknown = 'unknown'


class Claimant(msgspec.Struct, frozen=True):
    """The one attempt that holds a claim.

    :param process: identifier of the process's start.
    :param attempt: identifier of the caller's request.
    """

    host: str
    process: str
    attempt: str


class RecordedAnswer(msgspec.Struct, frozen=True):
    """Answer of a claimed request.

    :param body: the whole body, None where it was too large to keep.
    """

    status: int
    content_type: str
    body: bytes | None


class Claim(msgspec.Struct, frozen=True):
    """Body of a claim's row.

    :param fingerprint: digest of the claimed request.
    :param ends_at: Unix time by which the request has ended.
    :param expires_at: Unix time after which the key may be used anew.
    """

    claimant: Claimant
    fingerprint: str
    ends_at: float
    expires_at: float
    state: ClaimState = ClaimState.claimed
    answer: RecordedAnswer | None = None


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """The row found is the asker's own."""


@dataclass(frozen=True, slots=True)
class ClaimFree:
    """The row found may be replaced: released, or expired."""


ClaimVerdict = (
    ClaimHeld
    | ClaimFree
    | RecordedAnswer
    | AnsweredBefore
    | NotRun
    | UnknownOutcome
)


def evaluate_claim(found: Claim, wanted: Claim, now: float) -> ClaimVerdict:
    """Return what an existing claim means for a request.

    :param found: the claim in the table.
    :param wanted: the claim that the request would insert.
    :param now: Unix time.
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
    return _judge_repeat(found, now)


def fingerprint_request(method: str, target: str, body_digest: bytes) -> str:
    """Return a digest that differs between different requests.

    :param target: path and query, without keys.

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


def _judge_repeat(
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
