"""Hosts whose heartbeats arrive."""

import logging
from collections import Counter
from dataclasses import dataclass, field

from crocusshunt.fleet import FleetView, Heartbeat, StatusMessage
from crocusshunt.logs import log_event

_MILLISECONDS = 1000
# Of so many ignored datagrams the first one is logged.
_LOGGED_COUNT = 100


@dataclass(slots=True)
class HeardHosts:
    """Logs hosts whose heartbeats stopped or arrive again.

    ``restarts`` counts the starts of each host after an earlier process of it,
    apart for those whose process was ready until then: it did not announce its
    end. ``ignored`` counts datagrams that are no message.
    """

    fleet: FleetView
    restarts: Counter[tuple[str, bool]] = field(default_factory=Counter)
    ignored: int = 0
    _heard: frozenset[str] = frozenset()

    def note_heartbeat(self, message: StatusMessage) -> None:
        """Note the first heartbeat of another process of a known host."""
        peer = self.fleet.peers.get(message.name)
        known = None if peer is None else peer.heartbeat
        if known is None or not isinstance(message, Heartbeat):
            return
        if known.started_at == message.started_at:
            return
        self.restarts[message.name, known.is_ready] += 1
        log_event(
            'host started again',
            logging.WARNING if known.is_ready else logging.INFO,
            host=message.name,
            was_ready=known.is_ready,
            ran_s=(message.started_at - known.started_at) / _MILLISECONDS,
        )

    def note_ignored(self, size: int) -> None:
        """Record a datagram that is no message.

        :param size: in bytes.
        """
        self.ignored += 1
        if self.ignored % _LOGGED_COUNT == 1:
            log_event(
                'datagrams ignored',
                logging.WARNING,
                size=size,
                ignored=self.ignored,
            )

    def log_changes(self, now: float) -> None:
        """Log the changes since the last call.

        :param now: monotonic seconds.
        """
        live = self.fleet.list_live(now)
        heard = frozenset(one.record.name for one in live)
        for silent in sorted(self._heard - heard):
            log_event('host silent', logging.WARNING, host=silent)
        for found in sorted(heard - self._heard):
            log_event('host heard', host=found)
        self._heard = heard
