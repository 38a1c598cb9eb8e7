"""Crashes of backend servers under requests, known from all hosts."""

from collections.abc import Collection, Iterable
from dataclasses import replace

from crocusshunt.crashes._culprits import CrashSettings, find_culprits
from crocusshunt.crashes._isolation import Origin
from crocusshunt.crashes._reports import (
    NEVER,
    CrashReport,
    History,
    describe_history,
    list_recent,
)
from crocusshunt.crashes._trials import find_trial_time

# Bound on one message, which is sent as a datagram.
_MAX_REPORT_COUNT = 32


class CrashLedger:
    """Requests under which servers crashed, by fingerprint.

    All times are monotonic seconds.

    >>> ledger = CrashLedger(CrashSettings())
    >>> for number in range(3):
    ...     _ = ledger.note_crash('f1', f's{number}', number, is_own=True)
    >>> sorted(ledger.quarantined)
    ['f1']
    """

    def __init__(self, settings: CrashSettings) -> None:
        """Create an empty ledger."""
        self._settings = settings
        self._histories: dict[str, History] = {}
        self.quarantined: frozenset[str] = frozenset()

    def note_crash(
        self,
        fingerprint: str,
        server: str,
        at: float,
        *,
        is_own: bool,
        origin: Origin | None = None,
    ) -> bool:
        """Record that a server crashed while it had a request.

        :param server: the server and its start; a restarted one is another.
        :param is_own: whether this host saw it.
        :param origin: of the request, None if unknown.
        :return: whether this is news.
        """
        history = self._histories.setdefault(fingerprint, History())
        history.origin = history.origin or origin
        is_news = server not in history.crashes and at > history.served_at
        if is_news:
            history.crashes[server] = at
            if is_own:
                history.own.add(server)
            self._update()
        return is_news

    def note_served(self, fingerprint: str, at: float) -> None:
        """Record that a server answered a request, if any crashed under it."""
        history = self._histories.get(fingerprint)
        if history is not None and at > history.served_at:
            history.note_served(at)
            history.is_served_here = True
            self._update()

    @property
    def is_empty(self) -> bool:
        """Tell whether no crash is known."""
        return not self._histories

    def group_by_origin(self) -> dict[Origin, dict[str, float]]:
        """Return the crashes of each origin that no quarantine explains."""
        explained = {
            server
            for fingerprint in self.quarantined
            for server in self._histories[fingerprint].crashes
        }
        crashes: dict[Origin, dict[str, float]] = {}
        for history in self._histories.values():
            if history.origin is None:
                continue
            found = crashes.setdefault(history.origin, {})
            for server, at in history.crashes.items():
                if server not in explained:
                    found[server] = at
        return crashes

    def count_crashes(self, fingerprint: str) -> int:
        """Return how many crashes under a request are known."""
        history = self._histories.get(fingerprint)
        return 0 if history is None else len(history.crashes)

    def estimate_release(self, fingerprint: str, now: float) -> float:
        """Return when a quarantined request may come back, in seconds.

        A trial that is due waits for an arrival at the host that may send it,
        so no shorter time than the first pause can be promised.
        """
        if fingerprint not in self.quarantined:
            return 0
        history = self._histories[fingerprint]
        until_trial_s = find_trial_time(history, self._settings) - now
        return max(self._settings.trial_after_s, until_trial_s)

    def begin_trial(self, fingerprint: str, now: float) -> bool:
        """Tell whether a quarantined request may be sent once more now.

        A server that answers it shows that others caused the crashes. Only
        one host may call this for a request.
        """
        if fingerprint not in self.quarantined:
            return False
        history = self._histories[fingerprint]
        if now < find_trial_time(history, self._settings):
            return False
        history.trials += 1
        history.tried_at = now
        return True

    def merge(self, reports: Iterable[CrashReport], now: float) -> bool:
        """Record what another host reports; return whether it is news."""
        is_news = False
        for report in reports:
            history = self._histories.get(report.fingerprint)
            if history is not None and report.served_age_s is not None:
                history.note_served(now - report.served_age_s)
                self._update()
            for server, age_s in report.ages_s.items():
                is_news |= self.note_crash(
                    report.fingerprint,
                    server,
                    now - age_s,
                    is_own=False,
                    origin=report.origin,
                )
        return is_news

    def export_own(self, now: float) -> list[CrashReport]:
        """Return what this host saw recently."""
        reports = []
        for fingerprint, history in list_recent(self._histories, now):
            own = {server: history.crashes[server] for server in history.own}
            served_at = history.served_at if history.is_served_here else NEVER
            if own or history.is_served_here:
                shown = replace(history, crashes=own, served_at=served_at)
                reports.append(describe_history(fingerprint, shown, now))
        return reports[:_MAX_REPORT_COUNT]

    def export_all(self, now: float) -> list[CrashReport]:
        """Return what any host saw recently, and all quarantined requests."""
        quarantined = [
            (fingerprint, self._histories[fingerprint])
            for fingerprint in sorted(self.quarantined)
        ]
        recent = [
            found
            for found in list_recent(self._histories, now)
            if found[0] not in self.quarantined
        ]
        return [
            describe_history(fingerprint, one, now)
            for fingerprint, one in (*quarantined, *recent)[:_MAX_REPORT_COUNT]
        ]

    def select_lasting(
        self, isolated: Collection[Origin]
    ) -> dict[str, History]:
        """Return what must outlast the end of all hosts, by fingerprint.

        With one crash more, such a request or origin is kept from servers.

        :param isolated: the isolated origins.
        """
        least = self._settings.crashes - 1
        return {
            fingerprint: history
            for fingerprint, history in self._histories.items()
            if len(history.crashes) >= least
            or (history.crashes and history.origin in isolated)
        }

    def expire(self, now: float) -> None:
        """Drop crashes that no longer count."""
        oldest = now - self._settings.window_s
        max_requests = self._settings.max_requests
        newest_first = sorted(
            self._histories.items(), key=_get_time, reverse=True
        )
        kept = {
            fingerprint: history
            for fingerprint, history in newest_first[:max_requests]
            if history.changed_at > oldest
        }
        if len(kept) < len(self._histories):
            self._histories = kept
            self._update()

    def _update(self) -> None:
        suspects = {
            fingerprint: history.crashes
            for fingerprint, history in self._histories.items()
            if len(history.crashes) >= self._settings.crashes
        }
        culprits = find_culprits(suspects, self._settings)
        # Only an answer shows that a quarantined request was not a cause too.
        self.quarantined = culprits | (self.quarantined & suspects.keys())


def _get_time(item: tuple[str, History]) -> float:
    return item[1].changed_at
