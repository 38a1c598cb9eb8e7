"""Records of what backend servers got, told and suffered."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """A span of time in which a server named a limit.

    :param rate: requests a second that it takes from all hosts.
    :param start_at: monotonic time of the first such answer, in seconds.
    :param end_at: monotonic time of the last such answer, in seconds.
    """

    server: str
    rate: float
    start_at: float
    end_at: float


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What a server told a host in a response.

    :param start: number of the start of the server.
    :param request_id: of the request that it answered.
    :param at: monotonic time of the response, in seconds.
    :param until: monotonic time until which it asks to back off, in seconds;
        without end if it is draining.
    """

    server: str
    start: int
    request_id: str
    at: float
    until: float

    @property
    def is_draining(self) -> bool:
        """Tell whether the server drains, else it asks to back off."""
        return self.until == float('inf')


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a server, whether it was run or not.

    :param pool: pool of the server.
    :param start: number of the start of the server.
    :param at: monotonic time, in seconds.
    """

    server: str
    start: int
    request_id: str
    at: float
    pool: str = ''


@dataclass(frozen=True, slots=True)
class PoolRejection:
    """A span of time in which all servers of a pool may reject requests.

    :param start_at: monotonic time of its start, in seconds.
    :param end_at: monotonic time at which the last backoff ends, in seconds.
    """

    start_at: float
    end_at: float


@dataclass(frozen=True, slots=True)
class HostCut:
    """A span of time in which a host was cut off from all servers.

    :param start_at: monotonic time of its start, in seconds.
    :param end_at: monotonic time of its end, in seconds.
    """

    host: str
    start_at: float
    end_at: float
