"""Registry of the checks that tables must pass to be accepted."""

from collections.abc import Callable, Iterable, Iterator

from crocusshunt.core import Fault
from crocusshunt.routing._tables import Tables

Check = Callable[[Tables], Iterable[Fault]]

ChangeCheck = Callable[[Tables, Tables], Iterable[Fault]]

_CHECKS: list[Check] = []
_CHANGE_CHECKS: list[ChangeCheck] = []


def register_check(function: Check) -> Check:
    """Decorator that registers a check of the tables.

    :param function: takes the tables and yields the faults that it finds.
    """
    _CHECKS.append(function)
    return function


def register_change_check(function: ChangeCheck) -> ChangeCheck:
    """Decorator that registers a check of a change of the tables.

    :param function: takes the tables before and after the change, and yields
        the faults that it finds.
    """
    _CHANGE_CHECKS.append(function)
    return function


def find_change_faults(before: Tables, after: Tables) -> tuple[Fault, ...]:
    """Return every fault of a change and of the resulting tables, sorted.

    :param before: the accepted tables.
    :param after: the tables that the change would result in.

    >>> find_change_faults(Tables(), Tables())
    ()
    """
    found = {
        fault for check in _CHANGE_CHECKS for fault in check(before, after)
    }
    return tuple(sorted(found.union(find_faults(after))))


def find_faults(tables: Tables) -> tuple[Fault, ...]:
    """Return every fault that any registered check finds, sorted.

    :param tables: the tables to check before they are accepted.

    >>> from crocusshunt.routing import Route
    >>> for fault in find_faults(Tables().put(Route('verify', 'missing'))):
    ...     print(fault)
    route verify: pool 'missing' does not exist (allowed: none yet)
    """
    found = {fault for check in _CHECKS for fault in check(tables)}
    return tuple(sorted(found))


def find_shared_addresses(
    table: str,
    addresses: Iterable[tuple[str, str]],
) -> Iterator[Fault]:
    """Yield a fault for each row that has the address of an earlier row.

    :param table: name of the table.

    :param addresses: pairs of a row's name and its address.

    >>> shared = find_shared_addresses('server', (('a', 'x'), ('b', 'x')))
    >>> [fault.place for fault in shared]
    ['server b']
    """
    owners: dict[str, str] = {}
    for name, address in addresses:
        owner = owners.setdefault(address, name)
        if owner != name:
            problem = f"address is also that of {table} '{owner}'"
            yield Fault(f'{table} {name}', problem)
