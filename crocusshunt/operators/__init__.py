"""Operators: their keys and roles, and the role that a change requires."""

from crocusshunt.operators._permissions import RowEdit, find_needed_role
from crocusshunt.operators._roles import (
    ForbiddenError,
    Operator,
    OperatorAuthorizer,
    OperatorError,
    Role,
    UnknownOperatorError,
)

__all__ = (
    'ForbiddenError',
    'Operator',
    'OperatorAuthorizer',
    'OperatorError',
    'Role',
    'RowEdit',
    'UnknownOperatorError',
    'find_needed_role',
)
