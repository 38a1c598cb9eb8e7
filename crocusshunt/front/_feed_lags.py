"""When a table that peers have in a newer version is asked for again."""

from dataclasses import dataclass

# A feed that works delivers a change to all hosts within about this time; a
# call that did not is taken for lost.
_MAX_CALL_LAG_S = 0.4
# A feed may pause after news; a host that lags behind a peer for longer fetches
# the table from it.
_MAX_LAG_S = 1.5


@dataclass(frozen=True, slots=True)
class FeedState:
    """What the feed of a table does now.

    :param is_failing: whether its last call failed.
    :param is_receiving: whether the answer to its call has begun.
    :param is_reading_large: whether that is a large one, which a peer's copy
        would replace.
    :param quiet_s: time for which its call has brought nothing, in seconds,
        zero without a call.
    """

    is_failing: bool = False
    is_receiving: bool = False
    is_reading_large: bool = False
    quiet_s: float = 0


def find_max_lag(feed: FeedState, *, is_near: bool) -> float:
    """Return how long a peer may be ahead before it is asked for its copy.

    In seconds. A large answer is not waited for, since a compressed copy is
    here sooner. A call that brings nothing withholds the news, and where the
    last one failed, the store answers the peer.

    :param is_near: whether the peer is a host of this region; copies of
        others take the links between regions.

    >>> find_max_lag(FeedState(is_reading_large=True), is_near=True)
    0
    >>> find_max_lag(FeedState(quiet_s=0.5), is_near=True)
    0.4
    >>> find_max_lag(FeedState(), is_near=True)
    1.5
    >>> find_max_lag(FeedState(is_failing=True), is_near=False)
    1.5
    """
    if not is_near:
        return _MAX_LAG_S
    if feed.is_reading_large:
        return 0
    if feed.is_failing or feed.quiet_s > _MAX_CALL_LAG_S:
        return _MAX_CALL_LAG_S
    return _MAX_LAG_S


def withholds_news(feed: FeedState, lag_s: float) -> bool:
    """Tell whether the call under way withholds a change that peers know.

    One that brings an answer does not, however long that takes.

    :param lag_s: how long they have known it, in seconds.

    >>> withholds_news(FeedState(quiet_s=0.5), lag_s=0.5)
    True
    >>> withholds_news(FeedState(quiet_s=0.5), lag_s=0.3)
    False
    >>> withholds_news(FeedState(is_receiving=True, quiet_s=0.5), lag_s=0.5)
    False
    """
    if feed.is_failing or feed.is_receiving:
        return False
    return min(lag_s, feed.quiet_s) > _MAX_CALL_LAG_S
