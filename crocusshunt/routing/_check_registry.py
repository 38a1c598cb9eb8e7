"""Registry of the checks that tables must pass before acceptance."""

from collections.abc import Callable, Iterable, Iterator

from crocusshunt.core import Fault
from crocusshunt.routing._tables import Tables

Check = Callable[[Tables], Iterable[Fault]]

ChangeCheck = Callable[[Tables, Tables], Iterable[Fault]]

_CHECKS: list[Check] = []
_CHANGE_CHECKS: list[ChangeCheck] = []


def register_check(function: Check) -> Check:
    """Register a check; a decorator for functions of the tables.

    :param function: yields the faults it finds.
    """
    _CHECKS.append(function)
    return function


def register_change_check(function: ChangeCheck) -> ChangeCheck:
    """Register a check of a change; a decorator.

    :param function: takes the tables before and after, and yields faults.
    """
    _CHANGE_CHECKS.append(function)
    return function


def find_change_faults(before: Tables, after: Tables) -> tuple[Fault, ...]:
    """Return every fault of the result and of the way to it, sorted.

    >>> find_change_faults(Tables(), Tables())
    ()
    """
    found = {fault for one in _CHANGE_CHECKS for fault in one(before, after)}
    return tuple(sorted(found.union(find_faults(after))))


def find_faults(tables: Tables) -> tuple[Fault, ...]:
    """Return every fault that any registered check finds, sorted.

    :param tables: the tables that would be accepted.

    >>> from crocusshunt.routing import Route
    >>> for fault in find_faults(Tables().put(Route('verify', 'missing'))):
    ...     print(fault)
    route verify: pool 'missing' does not exist (allowed: none yet)
    """
    found = {fault for one in _CHECKS for fault in one(tables)}
    return tuple(sorted(found))


def find_shared_addresses(
    table: str,
    addresses: Iterable[tuple[str, str]],
) -> Iterator[Fault]:
    """Yield a fault for each row whose address another row has.

    :param addresses: pairs of a row's name and its address.

    >>> shared = find_shared_addresses('server', (('a', 'x'), ('b', 'x')))
    >>> [fault.place for fault in shared]
    ['server b']
    """
    holders: dict[str, str] = {}
    for name, address in addresses:
        holder = holders.setdefault(address, name)
        if holder != name:
            problem = f"address is also that of {table} '{holder}'"
            yield Fault(f'{table} {name}', problem)
