"""Preview of a configuration change: differences and consequences."""

from crocusshunt.plans import (  # noqa: F401
    _access,
    _capacity,
    _movements,
    _traffic,
)
from crocusshunt.plans._differences import FieldChange, RowChange, compare_rows
from crocusshunt.plans._preview import preview_edits
from crocusshunt.plans._registry import Consequence, Severity, find_consequences

__all__ = (
    'Consequence',
    'FieldChange',
    'RowChange',
    'Severity',
    'compare_rows',
    'find_consequences',
    'preview_edits',
)
