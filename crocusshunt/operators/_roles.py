"""Roles of operators, their authentication and their authorisation."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from hmac import compare_digest

from result import Err, Ok, Result

from crocusshunt.core import CrocusError
from crocusshunt.keys import Digest, digest_key
from crocusshunt.routing import Name, register_table


class Role(str, Enum):
    """Permissions of an operator; each role includes the ones before it."""

    read = 'read'
    operate = 'operate'
    administer = 'administer'


# Position of each role in the order of increasing permissions.
_RANKS = {role: rank for rank, role in enumerate(Role)}


@register_table('operator')
@dataclass(frozen=True, slots=True)
class Operator:
    """A row of the operator table; the key itself is never stored.

    :param digest: SHA-256 of the operator's key, in hexadecimal.
    """

    name: Name
    role: Role
    digest: Digest


@dataclass(unsafe_hash=True)
class OperatorError(CrocusError):
    """A call to the operators' API that is not allowed."""

    code = 'operator'


@dataclass(unsafe_hash=True)
class UnknownOperatorError(OperatorError):
    """The call carried no key, or a key that belongs to no operator."""

    code = 'operator-unknown'


@dataclass(unsafe_hash=True)
class ForbiddenError(OperatorError):
    """The operator's role does not allow the call.

    :param name: name of the operator.
    :param needed: least role that allows the call.
    """

    code = 'operator-forbidden'

    name: str
    needed: Role

    def describe(self) -> str:
        """Return one line with the operator and the missing role."""
        return f'{self.code}: {self.name} needs the role {self.needed.value}'


class OperatorAuthorizer:
    """Finds the operator of a key and checks the operator's role.

    >>> row = Operator('mina', Role.operate, digest_key('ok_mina_00'))
    >>> authorizer = OperatorAuthorizer((row,))
    >>> authorizer.authorize('ok_mina_00', Role.read).unwrap().name
    'mina'
    >>> denied = authorizer.authorize('ok_mina_00', Role.administer)
    >>> denied.unwrap_err().needed.value
    'administer'
    """

    def __init__(self, operators: Iterable[Operator]) -> None:
        """Use the rows of the operator table."""
        self._operators = tuple(operators)

    def authorize(
        self,
        key: str,
        needed: Role,
    ) -> Result[Operator, OperatorError]:
        """Return the operator of a key if its role allows a call.

        :param key: key that the call carried, empty if it carried none.
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
