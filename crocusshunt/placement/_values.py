"""What a backend server tells of itself."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """The entry of one backend server.

    :param name: id of the server, mostly new with each start.
    :param address: ``ip:port``, which servers of other pools may get later.
    :param slots: requests that it runs at once.
    :param is_draining: whether it leaves and wants no new work.
    :param cold_left_s: how long it stays cold, in seconds, as of the entry.
    :param started_ms: Unix time of its start in milliseconds.
    """

    name: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    cold_left_s: float = 0
    started_ms: int = 0
