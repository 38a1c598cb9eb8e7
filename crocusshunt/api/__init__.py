"""The operators' interface and the system's access to the store."""

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
