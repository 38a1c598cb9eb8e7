"""Requests that crash the backend servers that run them."""

from dataclasses import dataclass

import msgspec

from crocusshunt.delivery._outcomes import NotRun

_STATUS_UNPROCESSABLE = 422


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """When a request is quarantined.

    :param losses: crashes of backend servers before it is.
    :param window_s: how long a loss counts, in seconds.
    """

    losses: int = 2
    window_s: float = 600


class CrashSuspicion(msgspec.Struct, frozen=True):
    """Crashes of backend servers that a request seems to have caused.

    :param losses: the server and the attempt of each; a server that came
        back and crashed again counts twice.
    :param expires_at: Unix time.
    """

    customer: str
    fingerprint: str
    losses: tuple[str, ...]
    expires_at: float

    @property
    def row_key(self) -> str:
        """Return the key of its row; a customer sees only its own."""
        return f'{self.customer}/{self.fingerprint}'


class QuarantineLedger:
    """Suspicions by customer and request.

    >>> ledger = QuarantineLedger(QuarantineSettings())
    >>> lost = CrashSuspicion('court', 'f1', ('s1 r1', 's1 r2'), 600)
    >>> ledger.merge(lost, now=0).losses
    ('s1 r1', 's1 r2')
    >>> ledger.check('court', 'f1', now=1).code
    'request-quarantined'
    >>> ledger.check('bar-office', 'f1', now=1) is None
    True
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        """Start without suspicions."""
        self._settings = settings
        self._held: dict[str, dict[str, CrashSuspicion]] = {}

    def has_suspects(self, customer: str, now: float) -> bool:
        """Tell whether a customer's requests must be looked at."""
        held = self._held.get(customer, {})
        return any(now < one.expires_at for one in held.values())

    def note_loss(
        self,
        customer: str,
        fingerprint: str,
        loss: str,
        now: float,
    ) -> CrashSuspicion:
        """Count a server that went away while it ran a request.

        :param loss: the server and the attempt, unique.
        """
        expires_at = now + self._settings.window_s
        lost = CrashSuspicion(customer, fingerprint, (loss,), expires_at)
        return self.merge(lost, now)

    def merge(self, seen: CrashSuspicion, now: float) -> CrashSuspicion:
        """Add a suspicion, and return what is known together with it."""
        held = self._held.setdefault(seen.customer, {})
        known = held.get(seen.fingerprint)
        if known is not None and now < known.expires_at:
            seen = msgspec.structs.replace(
                seen,
                losses=tuple(sorted({*known.losses, *seen.losses})),
                expires_at=max(known.expires_at, seen.expires_at),
            )
        held[seen.fingerprint] = seen
        return seen

    def forget(self, customer: str, fingerprint: str) -> bool:
        """Drop the suspicion of a request that ran well."""
        held = self._held.get(customer, {})
        return held.pop(fingerprint, None) is not None

    def check(
        self,
        customer: str,
        fingerprint: str,
        now: float,
    ) -> NotRun | None:
        """Refuse a quarantined request."""
        seen = self._held.get(customer, {}).get(fingerprint)
        if seen is None or now >= seen.expires_at:
            return None
        if len(seen.losses) < self._settings.losses:
            return None
        return NotRun(
            'request-quarantined',
            _STATUS_UNPROCESSABLE,
            'backend servers went away each time they ran this request',
            seen.expires_at - now,
        )

    def expire(self, now: float) -> None:
        """Drop suspicions that no longer count."""
        self._held = {
            customer: kept
            for customer, held in self._held.items()
            if (kept := _keep_fresh(held, now))
        }


def _keep_fresh(
    held: dict[str, CrashSuspicion],
    now: float,
) -> dict[str, CrashSuspicion]:
    return {
        fingerprint: one
        for fingerprint, one in held.items()
        if now < one.expires_at
    }
