"""What a host that starts must know before it takes requests."""

from collections.abc import Iterator
from dataclasses import dataclass

from crocusshunt.front._crash_records import CrashRecords
from crocusshunt.front._followers import Followers
from crocusshunt.front._obstacles import Condition, Obstacle


@dataclass(frozen=True, slots=True)
class StartInformation:
    """Whether a host knows what bounds over all hosts depend on.

    Callers that know its address come before it is ready. Without the table of
    hosts it would take all rates for itself, without the crashes it would send
    requests on that crash servers.
    """

    own_name: str
    followers: Followers
    records: CrashRecords

    @property
    def is_complete(self) -> bool:
        """Tell whether it does."""
        return next(self.find_missing(), None) is None

    def find_missing(self) -> Iterator[Obstacle]:
        """Yield what this host does not know yet."""
        for follower in (self.followers.servers, self.followers.hosts):
            if not follower.image.is_known:
                table = follower.settings.table
                cause = follower.availability.cause
                yield Obstacle(Condition.table, table, cause)
        if not self._is_listed:
            yield Obstacle(Condition.listing)
        if not self.records.is_known:
            yield Obstacle(Condition.crash_records, cause=self.records.cause)

    @property
    def _is_listed(self) -> bool:
        """Tell whether other hosts count this one, as far as it knows.

        Those whose table of hosts it has from the store will: it writes its
        record there. A peer's table, without the store, must list it.
        """
        hosts = self.followers.hosts
        if not hosts.image.is_known or hosts.availability.has_answered:
            return True
        return self.own_name in hosts.image.rows
