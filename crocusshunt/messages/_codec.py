"""Envelope and codec of messages."""

from collections import Counter
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from crocusshunt.core import CrocusError
from crocusshunt.messages._bodies import BODY_TYPES, KINDS, Body

PROTOCOL_VERSION = 1


@dataclass(unsafe_hash=True)
class MessageError(CrocusError):
    """A message that was refused before its body was read."""

    code = 'message'


@dataclass(unsafe_hash=True)
class DamagedMessageError(MessageError):
    """Bytes that are no message.

    :param detail: what the codec saw.
    """

    code = 'message-damaged'

    detail: str


@dataclass(unsafe_hash=True)
class UnknownVersionError(MessageError):
    """A message of a protocol version that this program does not speak."""

    code = 'message-version'

    version: int


@dataclass(unsafe_hash=True)
class UnknownKindError(MessageError):
    """A message of a kind that this program does not know."""

    code = 'message-kind'

    kind: str


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    version: int
    kind: str
    body: msgspec.Raw


class Codec:
    """Encodes and decodes messages, and counts those that it refused.

    >>> from crocusshunt.messages import FetchHosts
    >>> codec = Codec()
    >>> codec.decode(codec.encode(FetchHosts())).unwrap()
    FetchHosts()
    >>> codec.decode(b'noise').unwrap_err().code
    'message-damaged'
    >>> codec.refused['message-damaged']
    1
    """

    def __init__(self) -> None:
        """Start with no refusals counted."""
        self.refused: Counter[str] = Counter()

    def encode(self, body: Body) -> bytes:
        """Return the bytes of a message."""
        packed = msgspec.Raw(msgspec.msgpack.encode(body))
        kind = KINDS[type(body)]
        return msgspec.msgpack.encode(_Envelope(PROTOCOL_VERSION, kind, packed))

    def decode(self, message: bytes) -> Result[Body, MessageError]:
        """Return the body of a message, or why it is refused."""
        decoded = _decode(message)
        if isinstance(decoded, Err):
            self.refused[decoded.err_value.code] += 1
        return decoded


def _decode(message: bytes) -> Result[Body, MessageError]:
    try:
        envelope = msgspec.msgpack.decode(message, type=_Envelope)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(DamagedMessageError(str(error)))
    if envelope.version != PROTOCOL_VERSION:
        return Err(UnknownVersionError(envelope.version))
    body_class = BODY_TYPES.get(envelope.kind)
    if body_class is None:
        return Err(UnknownKindError(envelope.kind))
    try:
        return Ok(msgspec.msgpack.decode(envelope.body, type=body_class))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(DamagedMessageError(str(error)))
