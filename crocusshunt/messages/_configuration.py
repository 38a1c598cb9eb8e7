"""Messages that spread the configuration and the witnesses' testimonies."""

from crocusshunt.configuration import Change, Edit, Evidence
from crocusshunt.messages._bodies import Body, register_body
from crocusshunt.witnesses import Announcement, Testimony


@register_body('fetch-changes')
class FetchChanges(Body, frozen=True):
    """Asks for the changes after a revision, waiting for news if none.

    :param held: revision that the sender holds.
    :param wait_s: longest wait for a newer revision, in seconds.
    """

    held: int
    wait_s: float = 0


@register_body('change-feed')
class ChangeFeed(Body, frozen=True):
    """Changes that follow the revision asked about, oldest first.

    :param evidence: what the store itself vouched for.
    :param testimonies: the youngest of each witness.
    """

    changes: tuple[Change, ...]
    evidence: Evidence
    testimonies: tuple[Testimony, ...] = ()


@register_body('snapshot-feed')
class SnapshotFeed(Body, frozen=True):
    """A whole configuration, for a follower that is far behind.

    :param rows: one edit for each row, with its text in ``after``.
    """

    revision: int
    digest: str
    rows: tuple[Edit, ...]
    evidence: Evidence
    testimonies: tuple[Testimony, ...] = ()


@register_body('announce-change')
class AnnounceChange(Body, frozen=True):
    """Tells a witness of a change before it is sent to the store."""

    announcement: Announcement


@register_body('change-noted')
class ChangeNoted(Body, frozen=True):
    """The witness will testify to the announced change."""


@register_body('fetch-testimony')
class FetchTestimony(Body, frozen=True):
    """Asks a witness which changes it knows of."""


@register_body('given-testimony')
class GivenTestimony(Body, frozen=True):
    """A witness's testimony, of age zero when it was sent."""

    testimony: Testimony
