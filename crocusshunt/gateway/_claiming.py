"""Claims of non-idempotent requests in the table service."""

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

_TRIES = 4
_GRACE_S = 5
_WITHDRAW_PAUSES_S = (1, 5, 15, 60)
_DIGEST_BYTES = 32
_RETRY_S = 2
_STATUS_UNAVAILABLE = 503

Refusal = NotRun | UnknownOutcome | RecordedAnswer | AnsweredBefore


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """What is claimed.

    :param fingerprint: digest of the request.
    :param attempt: identifier of the caller's request.
    :param deadline: monotonic time by which the request ends.
    """

    customer: str
    idempotency_key: str
    fingerprint: str
    attempt: str
    deadline: float


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim that this process holds.

    :param version: version of its row.
    """

    row_key: str
    claim: Claim
    version: int


@dataclass(frozen=True, slots=True)
class _Again:
    """Insert once more.

    :param version: version that the row is expected to have.
    """

    version: int


class ClaimLedger:
    """Inserts claims before dispatch and records what became of them."""

    def __init__(
        self, store: TableStore, clock: Clock, owner: Claimant
    ) -> None:
        """Use a table service.

        :param owner: this host and process; its attempt is replaced.
        """
        self._store = store
        self._clock = clock
        self._owner = owner

    async def claim(
        self,
        request: ClaimRequest,
    ) -> Result[HeldClaim, Refusal]:
        """Insert a claim, or say what the one found there means.

        An insert whose answer was lost is repeated: if it took effect, the
        row conflicts, is read, and is recognised by its claimant.
        """
        wanted = HeldClaim(_name_row(request), self._create(request), ABSENT)
        for _ in range(_TRIES):
            if self._clock.monotonic() >= request.deadline:
                break
            step = await self._insert(wanted)
            if not isinstance(step, _Again):
                return step
            wanted = replace(wanted, version=step.version)
        return Err(_refuse_unavailable())

    async def record(
        self,
        held: HeldClaim,
        state: ClaimState,
        answer: RecordedAnswer | None = None,
    ) -> None:
        """Write down what became of a claimed request.

        A claim is never deleted: a delayed repeat of the deletion could
        remove a later claim of the same key.
        """
        ended = msgspec.structs.replace(held.claim, state=state, answer=answer)
        following = HeldClaim(held.row_key, ended, held.version + 1)
        for _ in range(_TRIES):
            written = await self._write(following, held.version)
            if isinstance(written, Ok):
                return
            if isinstance(written.err_value, StoreConflictError):
                # An earlier try took effect; nobody else writes this row.
                return
        log_event(
            'outcome of a claimed request not recorded',
            logging.WARNING,
            request_id=held.claim.claimant.attempt,
            state=state.value,
        )

    async def withdraw(self, request: ClaimRequest) -> None:
        """Release a claim whose insert may have taken effect unseen."""
        row_key = _name_row(request)
        for pause_s in _WITHDRAW_PAUSES_S:
            await asyncio.sleep(pause_s)
            read = await self._store.read(CLAIM_TABLE, row_key)
            if isinstance(read, Err) or read.ok_value is None:
                continue
            found = msgspec.json.decode(read.ok_value.body, type=Claim)
            if found.claimant == self._name_claimant(request):
                held = HeldClaim(row_key, found, read.ok_value.version)
                await self.record(held, ClaimState.released)
            return

    def _name_claimant(self, request: ClaimRequest) -> Claimant:
        return msgspec.structs.replace(self._owner, attempt=request.attempt)

    def _create(self, request: ClaimRequest) -> Claim:
        now = self._clock.wall()
        remaining = request.deadline - self._clock.monotonic()
        return Claim(
            self._name_claimant(request),
            request.fingerprint,
            ends_at=now + remaining + _GRACE_S,
            expires_at=now + CLAIM_LIFETIME_S,
        )

    async def _insert(
        self,
        wanted: HeldClaim,
    ) -> Result[HeldClaim, Refusal] | _Again:
        written = await self._write(wanted, wanted.version)
        if isinstance(written, Ok):
            return Ok(replace(wanted, version=wanted.version + 1))
        if isinstance(written.err_value, StoreConflictError):
            return await self._examine(wanted)
        if isinstance(written.err_value, StoreUnavailableError):
            return Err(_refuse_unavailable())
        return _Again(wanted.version)

    async def _write(
        self,
        held: HeldClaim,
        expected: int,
    ) -> Result[None, StoreError]:
        body = msgspec.json.encode(held.claim).decode()
        write = Write(CLAIM_TABLE, held.row_key, body, expected)
        return await self._store.transact((write,))

    async def _examine(
        self,
        wanted: HeldClaim,
    ) -> Result[HeldClaim, Refusal] | _Again:
        read = await self._store.read(CLAIM_TABLE, wanted.row_key)
        if isinstance(read, Err):
            return Err(_refuse_unavailable())
        row = read.ok_value
        if row is None:
            return _Again(ABSENT)
        return self._judge(wanted, row)

    def _judge(
        self,
        wanted: HeldClaim,
        row: StoredRow,
    ) -> Result[HeldClaim, Refusal] | _Again:
        found = msgspec.json.decode(row.body, type=Claim)
        verdict = evaluate_claim(found, wanted.claim, self._clock.wall())
        if isinstance(verdict, ClaimHeld):
            return Ok(HeldClaim(wanted.row_key, found, row.version))
        if isinstance(verdict, ClaimFree):
            return _Again(row.version)
        return Err(verdict)


def _name_row(request: ClaimRequest) -> str:
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
