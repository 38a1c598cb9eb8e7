"""Operators' files, kept in version control, that declare the tables."""

from crocusshunt.declarations._directory import read_declarations
from crocusshunt.declarations._difference import compare_tables

__all__ = ('compare_tables', 'read_declarations')
