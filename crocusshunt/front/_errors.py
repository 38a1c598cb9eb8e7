"""Errors in the inputs of the request path."""

from dataclasses import dataclass

from crocusshunt.core import CrocusError


@dataclass(unsafe_hash=True)
class MalformedSourceError(CrocusError):
    """Settings, a configuration or a server's entry could not be decoded.

    :param subject: the input that was read, for messages.
    :param problem: what is wrong with it.
    """

    code = 'malformed-source'

    subject: str
    problem: str
