"""Bodies of the messages between processes."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from crocusshunt.configuration import Change, Edit, Evidence


class Body(msgspec.Struct, frozen=True):
    """Base of all message bodies."""


_BodyType = TypeVar('_BodyType', bound=type[Body])
BODY_TYPES: dict[str, type[Body]] = {}
KINDS: dict[type[Body], str] = {}


def register_body(kind: str) -> Callable[[_BodyType], _BodyType]:
    """Return a decorator that makes a structure the body of a kind.

    :param kind: name of the message's kind on the wire.
    """

    def register(body_class: _BodyType) -> _BodyType:
        BODY_TYPES[kind] = body_class
        KINDS[body_class] = kind
        return body_class

    return register


@register_body('refusal')
class Refusal(Body, frozen=True):
    """Answer to a message that was not carried out.

    :param code: machine-readable name of the failure.
    :param detail: one line for the log.
    """

    code: str
    detail: str = ''


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
    """Changes that follow the revision asked about, oldest first."""

    changes: tuple[Change, ...]
    evidence: Evidence


@register_body('snapshot-feed')
class SnapshotFeed(Body, frozen=True):
    """A whole configuration, for a follower that is far behind.

    :param rows: one edit for each row, with its text in ``after``.
    """

    revision: int
    digest: str
    rows: tuple[Edit, ...]
    evidence: Evidence
