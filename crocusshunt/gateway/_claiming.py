"""Claims of idempotency keys in the table service.

A claim keeps a non-idempotent request from running twice.
"""

import asyncio
import logging
from dataclasses import dataclass, replace
from hashlib import blake2b

import msgspec
from result import Err, Ok, Result

from crocusshunt.core import Clock
from crocusshunt.delivery import (
    AnsweredBefore,
    Claim,
    Claimant,
    ClaimFree,
    ClaimHeld,
    ClaimState,
    NotRun,
    RecordedAnswer,
    UnknownOutcome,
    evaluate_claim,
)
from crocusshunt.logs import log_event
from crocusshunt.store import (
    ABSENT,
    StoreConflictError,
    StoredRow,
    StoreError,
    StoreUnavailableError,
    TableStore,
    Write,
)

CLAIM_TABLE = 'claim'
CLAIM_LIFETIME_S = 86_400

_MAX_TRIES = 4
# Time after the deadline until which a claim counts as in progress, in s.
_END_GRACE_S = 5
_WITHDRAW_PAUSES_S = (1, 5, 15, 60)
_DIGEST_BYTES = 32
_RETRY_S = 2
_STATUS_UNAVAILABLE = 503

ClaimRefusal = NotRun | UnknownOutcome | RecordedAnswer | AnsweredBefore


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request whose idempotency key is to be claimed.

    :param fingerprint: digest of the request's method, target and body.
    :param attempt: identifier of the caller's request.
    :param deadline: monotonic time by which the request ends, in seconds.
    """

    customer: str
    idempotency_key: str
    fingerprint: str
    attempt: str
    deadline: float


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim that this process holds.

    :param row_key: key of its row in the table of claims.
    :param version: version of its row.
    """

    row_key: str
    claim: Claim
    version: int


@dataclass(frozen=True, slots=True)
class _RetryInsert:
    """The insert must be repeated.

    :param version: version that the row is expected to have then.
    """

    version: int


class ClaimLedger:
    """Inserts claims before dispatch and records the outcomes."""

    def __init__(
        self, store: TableStore, clock: Clock, owner: Claimant
    ) -> None:
        """Store claims in a table service.

        :param owner: this host and process; each claim replaces its attempt
            by the identifier of the request.
        """
        self._store = store
        self._clock = clock
        self._owner = owner

    async def claim(
        self,
        request: ClaimRequest,
    ) -> Result[HeldClaim, ClaimRefusal]:
        """Insert a claim, or return what an earlier claim of the key means.

        An insert whose answer was lost is repeated: if it took effect, the
        repeat conflicts, and the row read then shows this claimant.
        """
        proposed = HeldClaim(
            _create_row_key(request), self._create_claim(request), ABSENT
        )
        for _ in range(_MAX_TRIES):
            if self._clock.monotonic() >= request.deadline:
                break
            inserted = await self._insert(proposed)
            if not isinstance(inserted, _RetryInsert):
                return inserted
            proposed = replace(proposed, version=inserted.version)
        return Err(_refuse_unavailable())

    async def record(
        self,
        held: HeldClaim,
        state: ClaimState,
        answer: RecordedAnswer | None = None,
    ) -> None:
        """Record the outcome of a claimed request.

        A claim is never deleted: a delayed repeat of the deletion could
        remove a later claim of the same key.
        """
        finished_claim = msgspec.structs.replace(
            held.claim, state=state, answer=answer
        )
        updated = HeldClaim(held.row_key, finished_claim, held.version + 1)
        for _ in range(_MAX_TRIES):
            written = await self._write(updated, held.version)
            if isinstance(written, Ok):
                return
            if isinstance(written.err_value, StoreConflictError):
                # An earlier try took effect; only the holder writes this row.
                return
        log_event(
            'outcome of a claimed request not recorded',
            logging.WARNING,
            request_id=held.claim.claimant.attempt,
            state=state.value,
        )

    async def withdraw(self, request: ClaimRequest) -> None:
        """Release a claim whose insert may have taken effect unconfirmed.

        The row is read several times, after growing pauses, since a
        delayed insert may take effect later.
        """
        row_key = _create_row_key(request)
        for pause_s in _WITHDRAW_PAUSES_S:
            await asyncio.sleep(pause_s)
            read = await self._store.read(CLAIM_TABLE, row_key)
            if isinstance(read, Err) or read.ok_value is None:
                continue
            found = msgspec.json.decode(read.ok_value.body, type=Claim)
            if found.claimant == self._create_claimant(request):
                held = HeldClaim(row_key, found, read.ok_value.version)
                await self.record(held, ClaimState.released)
            return

    def _create_claimant(self, request: ClaimRequest) -> Claimant:
        return msgspec.structs.replace(self._owner, attempt=request.attempt)

    def _create_claim(self, request: ClaimRequest) -> Claim:
        now = self._clock.wall()
        remaining = request.deadline - self._clock.monotonic()
        return Claim(
            self._create_claimant(request),
            request.fingerprint,
            ends_at=now + remaining + _END_GRACE_S,
            expires_at=now + CLAIM_LIFETIME_S,
        )

    async def _insert(
        self,
        proposed: HeldClaim,
    ) -> Result[HeldClaim, ClaimRefusal] | _RetryInsert:
        written = await self._write(proposed, proposed.version)
        if isinstance(written, Ok):
            return Ok(replace(proposed, version=proposed.version + 1))
        if isinstance(written.err_value, StoreConflictError):
            return await self._resolve_conflict(proposed)
        if isinstance(written.err_value, StoreUnavailableError):
            return Err(_refuse_unavailable())
        return _RetryInsert(proposed.version)

    async def _write(
        self,
        held: HeldClaim,
        expected: int,
    ) -> Result[None, StoreError]:
        body = msgspec.json.encode(held.claim).decode()
        write = Write(CLAIM_TABLE, held.row_key, body, expected)
        return await self._store.transact((write,))

    async def _resolve_conflict(
        self,
        proposed: HeldClaim,
    ) -> Result[HeldClaim, ClaimRefusal] | _RetryInsert:
        read = await self._store.read(CLAIM_TABLE, proposed.row_key)
        if isinstance(read, Err):
            return Err(_refuse_unavailable())
        row = read.ok_value
        if row is None:
            return _RetryInsert(ABSENT)
        return self._evaluate_row(proposed, row)

    def _evaluate_row(
        self,
        proposed: HeldClaim,
        row: StoredRow,
    ) -> Result[HeldClaim, ClaimRefusal] | _RetryInsert:
        found = msgspec.json.decode(row.body, type=Claim)
        verdict = evaluate_claim(found, proposed.claim, self._clock.wall())
        if isinstance(verdict, ClaimHeld):
            return Ok(HeldClaim(proposed.row_key, found, row.version))
        if isinstance(verdict, ClaimFree):
            return _RetryInsert(row.version)
        return Err(verdict)


def _create_row_key(request: ClaimRequest) -> str:
    digest = blake2b(
        request.idempotency_key.encode(),
        digest_size=_DIGEST_BYTES,
    )
    return f'{request.customer}/{digest.hexdigest()}'


def _refuse_unavailable() -> NotRun:
    return NotRun(
        'claim-unavailable',
        _STATUS_UNAVAILABLE,
        'the table service did not confirm the idempotency key in time; '
        'ask again with the same key, here or at another host',
        _RETRY_S,
    )
