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
    """Return a decorator that registers a body class for a message kind.

    :param kind: name that identifies the kind in the message envelope.
    """

    def register(body_class: _BodyType) -> _BodyType:
        BODY_TYPES[kind] = body_class
        KINDS[body_class] = kind
        return body_class

    return register


@register_body('refusal')
class Refusal(Body, frozen=True):
    """Error answer: the request was not carried out.

    :param code: machine-readable error code.
    :param detail: one-line explanation for the log.
    """

    code: str
    detail: str = ''
