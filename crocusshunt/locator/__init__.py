"""The process that tells callers which entry hosts to use."""

from crocusshunt.locator._clients import Origin, find_client
from crocusshunt.locator._lookups import (
    LookupAnswer,
    LookupFailureError,
    LookupQuestion,
    Lookups,
    NoHostsError,
    UnknownNameError,
)
from crocusshunt.locator._service import LocatorService
from crocusshunt.locator._settings import LocatorSection, LocatorSettings

__all__ = (
    'LocatorSection',
    'LocatorService',
    'LocatorSettings',
    'LookupAnswer',
    'LookupFailureError',
    'LookupQuestion',
    'Lookups',
    'NoHostsError',
    'Origin',
    'UnknownNameError',
    'find_client',
)
