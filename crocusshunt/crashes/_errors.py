"""Errors of what is kept about crashes."""

from dataclasses import dataclass

from crocusshunt.core import CrocusError


@dataclass(unsafe_hash=True)
class MalformedCrashRecordError(CrocusError):
    """A record of a crash could not be decoded.

    :param key: of its row.
    :param problem: what is wrong with it.
    """

    code = 'malformed-crash-record'

    key: str
    problem: str
