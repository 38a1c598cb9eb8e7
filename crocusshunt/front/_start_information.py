"""What a host that starts must know before it takes requests."""

from dataclasses import dataclass

from crocusshunt.front._crash_records import CrashRecords
from crocusshunt.front._followers import Followers


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
        images = (self.followers.servers.image, self.followers.hosts.image)
        return all(one.is_known for one in images) and self.records.is_known
