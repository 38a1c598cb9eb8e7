"""Care for callers whose different requests crash backend servers."""

import logging
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from crocusshunt.core import Clock
from crocusshunt.crashes import Crashes, Origin, OriginIsolation
from crocusshunt.front._cluster import ClusterState
from crocusshunt.logs import log_event

_MAX_ANSWERED_COUNT = 4096


@dataclass(slots=True)
class IsolationWatch:
    """Isolates the origins of requests under which many servers crash.

    A request that a server answered since is known to be harmless.
    """

    cluster: ClusterState
    clock: Clock
    isolation: OriginIsolation
    _answered: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def is_isolated(self, fingerprint: str, origin: Origin) -> bool:
        """Tell whether a request may be sent to few servers only."""
        if not self.isolation.is_isolated(origin, self.clock.monotonic()):
            return False
        return fingerprint not in self._answered

    def may_retry(self, fingerprint: str, origin: Origin) -> bool:
        """Tell whether a request may crash another server after the first."""
        if not self.isolation.is_strained(origin, self.clock.monotonic()):
            return True
        return fingerprint in self._answered

    def note_answer(self, fingerprint: str) -> None:
        """Record that a server answered a request."""
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > _MAX_ANSWERED_COUNT:
            self._answered.popitem(last=False)

    def update(self, crashes: Mapping[Origin, Crashes]) -> None:
        """Find the origins to isolate after a crash.

        :param crashes: times of the crashes by server, of each origin.
        """
        now = self.clock.monotonic()
        before = self.isolation.list_isolated(now)
        servers = self.cluster.servers
        pool_sizes = {
            origin.pool: len(servers.select(origin.pool)) for origin in crashes
        }
        self.isolation.update(crashes, pool_sizes, now)
        for added in self.isolation.list_isolated(now) - before:
            log_event(
                'requests isolated',
                logging.WARNING,
                pool=added.pool,
                route=added.route,
                customer=added.customer,
            )
