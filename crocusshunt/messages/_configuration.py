"""Messages that replicate the configuration and relay testimonies."""

from crocusshunt.configuration import Change, Edit, Evidence
from crocusshunt.messages._bodies import Body, register_body
from crocusshunt.witnesses import Announcement, Testimony


@register_body('fetch-changes')
class FetchChanges(Body, frozen=True):
    """Requests the changes after a revision (long poll).

    :param held: newest revision that the sender has.
    :param wait_s: longest time in seconds that the answering process waits
        for a newer revision if it has none.
    """

    held: int
    wait_s: float = 0


@register_body('change-feed')
class ChangeFeed(Body, frozen=True):
    """Returns the changes after the requested revision, oldest first.

    :param evidence: how long ago the store was read and confirmed the
        revision of the answering process as the newest.
    :param testimonies: the most recent testimony of each witness.
    """

    changes: tuple[Change, ...]
    evidence: Evidence
    testimonies: tuple[Testimony, ...] = ()


@register_body('snapshot-feed')
class SnapshotFeed(Body, frozen=True):
    """Returns a whole configuration to a follower that is far behind.

    :param digest: digest of the last change included.
    :param rows: one edit for each row, with its text in ``after``.
    :param evidence: as in :class:`ChangeFeed`.
    :param testimonies: the most recent testimony of each witness.
    """

    revision: int
    digest: str
    rows: tuple[Edit, ...]
    evidence: Evidence
    testimonies: tuple[Testimony, ...] = ()


@register_body('announce-change')
class AnnounceChange(Body, frozen=True):
    """Announces a change to a witness before it is written to the store."""

    announcement: Announcement


@register_body('change-noted')
class ChangeNoted(Body, frozen=True):
    """Acknowledges an announcement.

    The witness lists the change in its testimonies until the outcome of its
    write is known.
    """


@register_body('fetch-testimony')
class FetchTestimony(Body, frozen=True):
    """Requests a testimony: the changes that a witness knows of."""


@register_body('given-testimony')
class GivenTestimony(Body, frozen=True):
    """Returns a testimony, whose age was 0 s when it was sent."""

    testimony: Testimony
