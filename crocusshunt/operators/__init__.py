"""Operators: their keys, roles and what each role may do."""

from crocusshunt.operators._roles import (
    ForbiddenError,
    Operator,
    OperatorError,
    Operators,
    Role,
    UnknownOperatorError,
)

__all__ = (
    'ForbiddenError',
    'Operator',
    'OperatorError',
    'Operators',
    'Role',
    'UnknownOperatorError',
)
