"""Failures of what the request path reads."""

from dataclasses import dataclass

from crocusshunt.core import CrocusError


@dataclass(unsafe_hash=True)
class MalformedSourceError(CrocusError):
    """Settings, a configuration or a server's entry could not be decoded.

    :param subject: what was read.
    :param problem: what is wrong with it.
    """

    code = 'malformed-source'

    subject: str
    problem: str
