"""Entries in which backend servers describe themselves."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """The entry of one backend server.

    :param name: id of the server, usually a new one with each start.
    :param address: ``ip:port``; it may be reused later by a server of another
        pool.
    :param slots: requests that it runs at once.
    :param is_draining: whether it is about to stop and takes no new requests.
    :param cold_left_s: rest of its cold phase, in seconds, at the time at
        which the entry was written.
    :param started_ms: Unix time of its start in milliseconds, by which a
        restart is recognized.
    """

    name: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    cold_left_s: float = 0
    started_ms: int = 0
