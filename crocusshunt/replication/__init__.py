"""Replication of the configuration from the store to every process.

A process that reaches the store polls it for changes; all others follow the
feed of such a process, directly or through other followers. The evidence that
a configuration is the newest travels the same way.
"""

from crocusshunt.replication._feed import Feed
from crocusshunt.replication._follower import Follower, FollowerSettings
from crocusshunt.replication._snapshots import SNAPSHOT_NAME, SnapshotArchive
from crocusshunt.replication._store_poller import POLL_INTERVAL_S, StorePoller
from crocusshunt.replication._witness_tasks import (
    TestimonyCollector,
    WitnessAnnouncer,
    WitnessHandler,
)

__all__ = (
    'POLL_INTERVAL_S',
    'SNAPSHOT_NAME',
    'Feed',
    'Follower',
    'FollowerSettings',
    'SnapshotArchive',
    'StorePoller',
    'TestimonyCollector',
    'WitnessAnnouncer',
    'WitnessHandler',
)
