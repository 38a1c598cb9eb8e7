"""Spread of the configuration from the store to every process."""

from crocusshunt.replication._archive import SNAPSHOT_NAME, Archive
from crocusshunt.replication._feed import Feed
from crocusshunt.replication._follower import Follower, FollowerSettings
from crocusshunt.replication._origin import POLL_INTERVAL_S, StorePoller
from crocusshunt.replication._witnessing import (
    TestimonyCollector,
    WitnessAnnouncer,
    WitnessHandler,
)

__all__ = (
    'POLL_INTERVAL_S',
    'SNAPSHOT_NAME',
    'Archive',
    'Feed',
    'Follower',
    'FollowerSettings',
    'StorePoller',
    'TestimonyCollector',
    'WitnessAnnouncer',
    'WitnessHandler',
)
