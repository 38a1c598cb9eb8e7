"""Operators: their keys, roles and what each role may do."""

from crocusshunt.operators._permissions import Edited, find_needed_role
from crocusshunt.operators._roles import (
    ForbiddenError,
    Operator,
    OperatorError,
    Operators,
    Role,
    UnknownOperatorError,
)

__all__ = (
    'Edited',
    'ForbiddenError',
    'Operator',
    'OperatorError',
    'Operators',
    'Role',
    'UnknownOperatorError',
    'find_needed_role',
)
