"""Errors of the message transport between processes."""

from dataclasses import dataclass

from crocusshunt.core import CrocusError


@dataclass(unsafe_hash=True)
class TransportError(CrocusError):
    """A request that received no usable answer."""

    code = 'transport'


@dataclass(unsafe_hash=True)
class PeerTimeoutError(TransportError):
    """No answer arrived in time, or the connection failed.

    :param address: address to which the request was sent.
    """

    code = 'peer-timeout'

    address: str


@dataclass(unsafe_hash=True)
class PeerRefusalError(TransportError):
    """The peer refused the request or sent an answer of the wrong type.

    :param reason: error code of the refusal, code of the decoding error, or
        the type name of the unexpected answer.
    """

    code = 'peer-refusal'

    reason: str
