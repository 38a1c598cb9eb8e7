"""Operators' files, kept in version control, that declare the tables."""

from crocusshunt.declarations._difference import compare_tables
from crocusshunt.declarations._directory import read_declarations
from crocusshunt.declarations._text import (
    DECLARED_TABLES,
    write_declarations,
    write_fields,
)

__all__ = (
    'DECLARED_TABLES',
    'compare_tables',
    'read_declarations',
    'write_declarations',
    'write_fields',
)
