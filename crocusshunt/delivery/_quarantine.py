"""Quarantine of requests that crash the backend servers that run them."""

from dataclasses import dataclass

import msgspec

from crocusshunt.delivery._outcomes import NotRun

_STATUS_UNPROCESSABLE = 422


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """When a request is quarantined.

    :param losses: number of crashes after which a request is quarantined.
    :param window_s: how long a crash counts, in seconds.
    """

    losses: int = 2
    window_s: float = 600


class CrashSuspicion(msgspec.Struct, frozen=True):
    """Crashes of backend servers that a request seems to have caused.

    :param fingerprint: digest of the request.
    :param losses: server and attempt of each crash; a server that restarted
        and crashed again counts twice.
    :param expires_at: Unix time, in seconds, after which the crashes no
        longer count.
    """

    customer: str
    fingerprint: str
    losses: tuple[str, ...]
    expires_at: float

    @property
    def row_key(self) -> str:
        """Return the key of the stored row, separate for each customer."""
        return f'{self.customer}/{self.fingerprint}'


class QuarantineLedger:
    """Crashes that requests seem to have caused, by customer and request.

    A request is quarantined once ``losses`` crashes are known of it.

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
        """Create an empty ledger."""
        self._settings = settings
        self._by_customer: dict[str, dict[str, CrashSuspicion]] = {}

    def has_suspects(self, customer: str, now: float) -> bool:
        """Tell whether any request of a customer is under suspicion.

        :param now: Unix time, in seconds.
        """
        by_fingerprint = self._by_customer.get(customer, {})
        return any(
            now < suspicion.expires_at for suspicion in by_fingerprint.values()
        )

    def note_loss(
        self,
        customer: str,
        fingerprint: str,
        loss: str,
        now: float,
    ) -> CrashSuspicion:
        """Record that a server crashed while it ran a request.

        :param loss: unique text that names the server and the attempt.
        :param now: Unix time, in seconds.
        """
        expires_at = now + self._settings.window_s
        suspicion = CrashSuspicion(customer, fingerprint, (loss,), expires_at)
        return self.merge(suspicion, now)

    def merge(self, suspicion: CrashSuspicion, now: float) -> CrashSuspicion:
        """Add a suspicion; return it merged with the crashes already known."""
        by_fingerprint = self._by_customer.setdefault(suspicion.customer, {})
        known = by_fingerprint.get(suspicion.fingerprint)
        if known is not None and now < known.expires_at:
            suspicion = msgspec.structs.replace(
                suspicion,
                losses=tuple(sorted({*known.losses, *suspicion.losses})),
                expires_at=max(known.expires_at, suspicion.expires_at),
            )
        by_fingerprint[suspicion.fingerprint] = suspicion
        return suspicion

    def forget(self, customer: str, fingerprint: str) -> bool:
        """Drop the suspicion of a request that ran without a crash.

        Return whether there was one.
        """
        by_fingerprint = self._by_customer.get(customer, {})
        return by_fingerprint.pop(fingerprint, None) is not None

    def check(
        self,
        customer: str,
        fingerprint: str,
        now: float,
    ) -> NotRun | None:
        """Return a refusal if the request is quarantined, else None.

        :param now: Unix time, in seconds.
        """
        suspicion = self._by_customer.get(customer, {}).get(fingerprint)
        if suspicion is None or now >= suspicion.expires_at:
            return None
        if len(suspicion.losses) < self._settings.losses:
            return None
        return NotRun(
            'request-quarantined',
            _STATUS_UNPROCESSABLE,
            'backend servers went away each time they ran this request',
            suspicion.expires_at - now,
        )

    def expire(self, now: float) -> None:
        """Drop suspicions that have expired."""
        self._by_customer = {
            customer: kept
            for customer, by_fingerprint in self._by_customer.items()
            if (kept := _drop_expired(by_fingerprint, now))
        }


def _drop_expired(
    by_fingerprint: dict[str, CrashSuspicion],
    now: float,
) -> dict[str, CrashSuspicion]:
    return {
        fingerprint: suspicion
        for fingerprint, suspicion in by_fingerprint.items()
        if now < suspicion.expires_at
    }
