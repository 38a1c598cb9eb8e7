"""Service that tells callers which entry hosts to use."""

from crocusshunt.locator._client_address import (
    LookupOrigin,
    find_client_address,
)
from crocusshunt.locator._lookups import (
    LookupAnswer,
    LookupFailureError,
    LookupQuery,
    LookupResolver,
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
    'LookupOrigin',
    'LookupQuery',
    'LookupResolver',
    'NoHostsError',
    'UnknownNameError',
    'find_client_address',
)
