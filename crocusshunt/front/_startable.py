"""Which pipelined requests may begin before those in front are answered."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that was read behind one that is not answered yet.

    :param is_whole: whether its body has arrived, if it has one.
    :param is_repeatable: whether it may be executed more than once.
    :param closes: whether its connection closes after its response.
    """

    is_whole: bool
    is_repeatable: bool
    closes: bool


def count_startable(waiting: Iterable[WaitingRequest], limit: int) -> int:
    """Return how many waiting requests of a connection may begin now.

    Load pattern: callers that send several reads on one connection at once.
    Begun one after the other, the last one takes as long as all of them
    together and misses its latency objective although servers were free.

    A request that may run only once begins in its turn: if the connection
    closed before, its caller would send it again. Whatever stands behind such
    a request or behind the last one of the connection does not begin either.

    :param waiting: in the order in which they were read.
    :param limit: highest number of them.

    >>> read = WaitingRequest(is_whole=True, is_repeatable=True, closes=False)
    >>> write = WaitingRequest(is_whole=True, is_repeatable=False, closes=False)
    >>> count_startable([read, read, write, read], limit=8)
    2
    """
    count = 0
    for request in waiting:
        is_startable = request.is_whole and request.is_repeatable
        if count >= limit or not is_startable:
            break
        count += 1
        if request.closes:
            break
    return count
