"""Witnesses: processes that testify that no newer change was accepted.

A change is announced to a majority of the witnesses before it is written to
the store. A host that has recent testimonies of a majority therefore knows,
without the store, whether its revision is the newest and which changes are
pending.
"""

from crocusshunt.witnesses._announcements import (
    Announcement,
    StaleAnnouncementError,
    Testimony,
    WitnessState,
)
from crocusshunt.witnesses._rows import Witness
from crocusshunt.witnesses._testimonies import QuorumTracker, Suspension

__all__ = (
    'Announcement',
    'QuorumTracker',
    'StaleAnnouncementError',
    'Suspension',
    'Testimony',
    'Witness',
    'WitnessState',
)
