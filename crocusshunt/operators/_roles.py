"""Authentication and authorisation of operators."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from hmac import compare_digest

from result import Err, Ok, Result

from crocusshunt.core import CrocusError
from crocusshunt.keys import Digest, digest_key
from crocusshunt.routing import Name, register_table


class Role(str, Enum):
    """What an operator may do; each role includes those before it."""

    read = 'read'
    operate = 'operate'
    administer = 'administer'


_RANKS = {role: rank for rank, role in enumerate(Role)}


@register_table('operator')
@dataclass(frozen=True, slots=True)
class Operator:
    """An operator; the key itself is never stored.

    :param digest: SHA-256 of the operator's key, in hexadecimal.
    """

    name: Name
    role: Role
    digest: Digest


@dataclass(unsafe_hash=True)
class OperatorError(CrocusError):
    """A call to the operators' interface that is not allowed."""

    code = 'operator'


@dataclass(unsafe_hash=True)
class UnknownOperatorError(OperatorError):
    """The call carried no operator's key."""

    code = 'operator-unknown'


@dataclass(unsafe_hash=True)
class ForbiddenError(OperatorError):
    """The operator's role does not allow the call.

    :param needed: role that allows it.
    """

    code = 'operator-forbidden'

    name: str
    needed: Role

    def describe(self) -> str:
        """Return who lacks which role."""
        return f'{self.code}: {self.name} needs the role {self.needed.value}'


class Operators:
    """Answers which operator a key stands for.

    >>> row = Operator('mina', Role.operate, digest_key('ok_mina_00'))
    >>> Operators((row,)).authorize('ok_mina_00', Role.read).unwrap().name
    'mina'
    >>> denied = Operators((row,)).authorize('ok_mina_00', Role.administer)
    >>> denied.unwrap_err().needed.value
    'administer'
    """

    def __init__(self, operators: Iterable[Operator]) -> None:
        """Hold the rows of operators."""
        self._operators = tuple(operators)

    def authorize(
        self,
        key: str,
        needed: Role,
    ) -> Result[Operator, OperatorError]:
        """Return the operator of a key whose role allows a call.

        :param needed: least role that allows the call.
        """
        digest = digest_key(key)
        for operator in self._operators:
            if compare_digest(operator.digest, digest):
                return _check_role(operator, needed)
        return Err(UnknownOperatorError())


def _check_role(
    operator: Operator,
    needed: Role,
) -> Result[Operator, OperatorError]:
    if _RANKS[operator.role] < _RANKS[needed]:
        return Err(ForbiddenError(operator.name, needed))
    return Ok(operator)
