"""Declaration files: tables as INI files that operators version-control."""

from crocusshunt.declarations._differences import compare_tables
from crocusshunt.declarations._reader import read_declarations
from crocusshunt.declarations._writer import (
    DECLARED_TABLES,
    format_declarations,
    format_fields,
)

__all__ = (
    'DECLARED_TABLES',
    'compare_tables',
    'format_declarations',
    'format_fields',
    'read_declarations',
)
