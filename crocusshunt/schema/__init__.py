"""All tables of a configuration.

Row types are looked up here and not in the routing package, so that every
process that reads a change knows every table. A new table's package is
added to the imports below; it must not import the configuration package.
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
