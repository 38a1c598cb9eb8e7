"""The operators' tables, their checks, and the choice of a route."""

from crocusshunt.routing import _checks as checks
from crocusshunt.routing._check_registry import (
    check,
    check_change,
    find_change_faults,
    find_faults,
    find_shared_addresses,
)
from crocusshunt.routing._matching import (
    RequestFacts,
    RouteMatcher,
    order_routes,
)
from crocusshunt.routing._registry import (
    Row,
    is_table,
    name_table,
    register_table,
    row_type,
    table_names,
)
from crocusshunt.routing._rows import (
    Access,
    Block,
    Customer,
    FailureDomain,
    Link,
    Name,
    Pool,
    Priority,
    RetryClass,
    Route,
    Server,
    ServerState,
)
from crocusshunt.routing._tables import Tables

__all__ = (
    'Access',
    'Block',
    'Customer',
    'FailureDomain',
    'Link',
    'Name',
    'Pool',
    'Priority',
    'RequestFacts',
    'RetryClass',
    'Route',
    'RouteMatcher',
    'Row',
    'Server',
    'ServerState',
    'Tables',
    'check',
    'checks',
    'check_change',
    'find_change_faults',
    'find_faults',
    'find_shared_addresses',
    'is_table',
    'name_table',
    'order_routes',
    'register_table',
    'row_type',
    'table_names',
)
