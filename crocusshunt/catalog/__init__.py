"""The configuration in force, in the form used to decide on requests."""

from crocusshunt.catalog._homes import share_homes
from crocusshunt.catalog._index import CatalogIndex, digest_key
from crocusshunt.catalog._rules import (
    Catalog,
    CustomerRule,
    PoolRule,
    RequestLimits,
    RouteRule,
    Target,
)

__all__ = (
    'Catalog',
    'CatalogIndex',
    'CustomerRule',
    'PoolRule',
    'RequestLimits',
    'RouteRule',
    'Target',
    'digest_key',
    'share_homes',
)
