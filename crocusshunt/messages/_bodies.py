"""Bodies of the messages between processes."""

from collections.abc import Callable
from typing import TypeVar

import msgspec


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
