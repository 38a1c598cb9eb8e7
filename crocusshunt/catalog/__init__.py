"""The configuration in force, in the form that requests are decided by."""

from crocusshunt.catalog._index import CatalogIndex, digest_key
from crocusshunt.catalog._values import (
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
)
