"""All tables of a configuration.

Row types are looked up here and not in the routing package, so that every
process that reads a change knows every table. A new table's package is
added to the imports below; it must not import the configuration package.
"""

from crocusshunt.drains import Drain
from crocusshunt.keys import Key
from crocusshunt.operators import Operator
from crocusshunt.routing import (
    Block,
    Customer,
    FailureDomain,
    Link,
    Pool,
    Route,
    Server,
    is_table,
    row_type,
    table_names,
)
from crocusshunt.shifts import Shift
from crocusshunt.witnesses import Witness

__all__ = (
    'Block',
    'Customer',
    'Drain',
    'FailureDomain',
    'Key',
    'Link',
    'Operator',
    'Pool',
    'Route',
    'Server',
    'Witness',
    'Shift',
    'is_table',
    'row_type',
    'table_names',
)
