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

    followers: Followers
    records: CrashRecords

    @property
    def is_complete(self) -> bool:
        """Tell whether it does; once it does, it always will."""
        return next(self.find_missing(), None) is None

    def find_missing(self) -> Iterator[Obstacle]:
        """Yield what this host does not know yet."""
        for follower in (self.followers.servers, self.followers.hosts):
            if not follower.image.is_known:
                table = follower.settings.table
                cause = follower.availability.cause
                yield Obstacle(Condition.table, table, cause)
        if not self.records.is_known:
            yield Obstacle(Condition.crash_records, cause=self.records.cause)
