"""Envelope, encoding and decoding of messages."""

from collections import Counter
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from crocusshunt.core import CrocusError
from crocusshunt.messages._bodies import BODY_TYPES, KINDS, Body

PROTOCOL_VERSION = 1


@dataclass(unsafe_hash=True)
class MessageError(CrocusError):
    """A message that could not be decoded."""

    code = 'message'


@dataclass(unsafe_hash=True)
class DamagedMessageError(MessageError):
    """Bytes that are not a valid message.

    :param detail: description of the decoding error.
    """

    code = 'message-damaged'

    detail: str


@dataclass(unsafe_hash=True)
class UnknownVersionError(MessageError):
    """A message of a protocol version that this program does not support."""

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
    """Encodes and decodes messages, and counts undecodable ones.

    ``refused`` maps an error code to the number of messages refused with it.

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
        """Create a codec with all counters at 0."""
        self.refused: Counter[str] = Counter()

    def encode(self, body: Body) -> bytes:
        """Return the message that carries a body."""
        encoded_body = msgspec.Raw(msgspec.msgpack.encode(body))
        kind = KINDS[type(body)]
        return msgspec.msgpack.encode(
            _Envelope(PROTOCOL_VERSION, kind, encoded_body)
        )

    def decode(self, message: bytes) -> Result[Body, MessageError]:
        """Return the body of a message, or why it cannot be decoded."""
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
