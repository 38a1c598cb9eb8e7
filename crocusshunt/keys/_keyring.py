"""Authentication of callers against the key table."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from hmac import compare_digest
from typing import Annotated

from msgspec import Meta
from result import Err, Ok, Result

from crocusshunt.core import CrocusError, Fault
from crocusshunt.keys._digests import digest_key, extract_key_name
from crocusshunt.routing import (
    Customer,
    Name,
    Tables,
    register_check,
    register_table,
)

Digest = Annotated[str, Meta(pattern='^[0-9a-f]{64}$')]


class KeyState(str, Enum):
    """Whether a key is accepted."""

    granted = 'granted'
    withdrawn = 'withdrawn'


@register_table('key')
@dataclass(frozen=True, slots=True)
class Key:
    """Row of a customer's key, which is stored only as a digest.

    :param name: public name of the key.
    :param customer: customer whose requests carry the key.
    :param digest: SHA-256 of the key, in hexadecimal.
    """

    name: Name
    customer: str
    digest: Digest
    state: KeyState = KeyState.granted


@dataclass(unsafe_hash=True)
class RefusedKeyError(CrocusError):
    """The key of a request is not accepted."""

    code = 'key-refused'


@dataclass(unsafe_hash=True)
class MissingKeyError(RefusedKeyError):
    """A request to a keyed route had no key, or more than one."""

    code = 'key-missing'


@dataclass(unsafe_hash=True)
class UnknownKeyError(RefusedKeyError):
    """No row of the key table matches the key."""

    code = 'key-unknown'


@dataclass(unsafe_hash=True)
class WithdrawnKeyError(RefusedKeyError):
    """The key has been withdrawn.

    :param name: public name of the key.
    """

    code = 'key-withdrawn'

    name: str


class Keyring:
    """Authenticates keys and finds the customers that own them.

    >>> row = Key('court-1', 'court', digest_key('ck_court-1_00'))
    >>> Keyring((row,)).authenticate('ck_court-1_00').unwrap().customer
    'court'
    >>> Keyring((row,)).authenticate('ck_court-1_01').unwrap_err()
    UnknownKeyError()
    """

    def __init__(self, keys: Iterable[Key]) -> None:
        """Index keys by their public names."""
        self._keys = {key.name: key for key in keys}

    def authenticate(self, presented: str) -> Result[Key, RefusedKeyError]:
        """Return the key's row, or the reason why it is not accepted.

        :param presented: the key as the caller sent it.
        """
        if not presented:
            return Err(MissingKeyError())
        row = self._keys.get(extract_key_name(presented))
        if row is None:
            return Err(UnknownKeyError())
        if not compare_digest(row.digest, digest_key(presented)):
            return Err(UnknownKeyError())
        if row.state is KeyState.withdrawn:
            return Err(WithdrawnKeyError(row.name))
        return Ok(row)


@register_check
def _check_customers_of_keys(tables: Tables) -> Iterator[Fault]:
    customers = {customer.name for customer in tables.select(Customer)}
    for key in tables.select(Key):
        if key.customer not in customers:
            place = f'key {key.name}'
            problem = f"customer '{key.customer}' does not exist"
            yield Fault(place, problem, ', '.join(sorted(customers)))
