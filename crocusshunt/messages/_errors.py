"""Failures of the transport between processes."""

from dataclasses import dataclass

from crocusshunt.core import CrocusError


@dataclass(unsafe_hash=True)
class TransportError(CrocusError):
    """A message that brought no usable answer."""

    code = 'transport'


@dataclass(unsafe_hash=True)
class PeerTimeoutError(TransportError):
    """No answer came in time.

    :param address: address asked.
    """

    code = 'peer-timeout'

    address: str


@dataclass(unsafe_hash=True)
class PeerRefusalError(TransportError):
    """The peer answered that it did not carry the message out.

    :param reason: code of the peer's failure.
    """

    code = 'peer-refusal'

    reason: str
