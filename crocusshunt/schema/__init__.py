"""The tables of a configuration, with the row type of each.

A package registers the tables that it defines when it is imported. Row types
are looked up through this package, not through the routing package, because
its imports register all tables, so that every process can decode every
change. The package of a new table must be added to the imports below; it must
not import the configuration package, which would be a circular import.
"""

from crocusshunt.drains import Drain
from crocusshunt.keys import Key
from crocusshunt.operators import Operator
from crocusshunt.routing import (
    AddressBlock,
    Customer,
    FailureDomain,
    Link,
    Pool,
    Route,
    Server,
    find_row_type,
    is_table,
    list_tables,
)
from crocusshunt.shifts import Shift
from crocusshunt.witnesses import Witness

__all__ = (
    'AddressBlock',
    'Customer',
    'Drain',
    'FailureDomain',
    'Key',
    'Link',
    'Operator',
    'Pool',
    'Route',
    'Server',
    'Shift',
    'Witness',
    'find_row_type',
    'is_table',
    'list_tables',
)
