"""The operators' API server, which also replicates the configuration.

Its processes are the ones that reach the store: controllers fetch changes and
the list of hosts from them, and they act as witnesses.
"""

from crocusshunt.api._documents import (
    AcceptedDocument,
    ChangeDocument,
    ConfigurationDocument,
    ErrorDocument,
    HistoryDocument,
    RowDocument,
    StatusDocument,
)
from crocusshunt.api._service import ApiService
from crocusshunt.api._settings import ApiSection, ApiSettings

__all__ = (
    'AcceptedDocument',
    'ApiSection',
    'ApiService',
    'ApiSettings',
    'ChangeDocument',
    'ConfigurationDocument',
    'ErrorDocument',
    'HistoryDocument',
    'RowDocument',
    'StatusDocument',
)
