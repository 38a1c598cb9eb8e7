"""The users' platform: its header and table names, formats and store."""

from crocusshunt.platform._configuration import decode_catalog
from crocusshunt.platform._source_format import SOURCE_FORMAT
from crocusshunt.platform._rows import RowStoreClient
from crocusshunt.platform._servers import decode_server
from crocusshunt.platform._settings import (
    SETTINGS_VARIABLE,
    read_front_settings,
)

__all__ = (
    'SETTINGS_VARIABLE',
    'SOURCE_FORMAT',
    'RowStoreClient',
    'decode_catalog',
    'decode_server',
    'read_front_settings',
)
