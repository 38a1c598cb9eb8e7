"""Spread of the configuration from the store to every process."""

from crocusshunt.replication._feed import Feed
from crocusshunt.replication._follower import Follower, FollowerSettings
from crocusshunt.replication._origin import Origin

__all__ = ('Feed', 'Follower', 'FollowerSettings', 'Origin')
