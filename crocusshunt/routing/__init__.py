"""Configuration tables of the operators, their checks, and route matching."""

from crocusshunt.routing import _checks as checks
from crocusshunt.routing._check_registry import (
    find_change_faults,
    find_faults,
    find_shared_addresses,
    register_change_check,
    register_check,
)
from crocusshunt.routing._matching import (
    RequestAttributes,
    RouteMatcher,
    order_routes,
)
from crocusshunt.routing._registry import (
    Row,
    find_row_table,
    find_row_type,
    is_table,
    list_tables,
    register_table,
)
from crocusshunt.routing._rows import (
    Access,
    AddressBlock,
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
    'AddressBlock',
    'Customer',
    'FailureDomain',
    'Link',
    'Name',
    'Pool',
    'Priority',
    'RequestAttributes',
    'RetryClass',
    'Route',
    'RouteMatcher',
    'Row',
    'Server',
    'ServerState',
    'Tables',
    'checks',
    'find_change_faults',
    'find_faults',
    'find_row_table',
    'find_row_type',
    'find_shared_addresses',
    'is_table',
    'list_tables',
    'order_routes',
    'register_change_check',
    'register_check',
    'register_table',
)
