"""Witnesses: who may testify that no newer change was accepted."""

from crocusshunt.witnesses._announcements import (
    Announcement,
    AnnouncementLog,
    StaleAnnouncementError,
    Testimony,
)
from crocusshunt.witnesses._rows import Witness
from crocusshunt.witnesses._testimonies import QuorumLog, Suspension

__all__ = (
    'Announcement',
    'AnnouncementLog',
    'StaleAnnouncementError',
    'Suspension',
    'Testimony',
    'QuorumLog',
    'Witness',
)
