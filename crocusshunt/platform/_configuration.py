"""Decoding of the operator's configuration into a catalog."""

from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from crocusshunt.catalog import (
    Catalog,
    CustomerRule,
    PoolRule,
    RequestLimits,
    RouteRule,
    Target,
    digest_key,
)
from crocusshunt.core import DECODE_ERRORS
from crocusshunt.front import MalformedSourceError

_HEXADECIMAL_BASE = 16
_IDEMPOTENT = 'idempotent'

_Spec = TypeVar('_Spec')


class _Metadata(msgspec.Struct, frozen=True):
    name: str = ''


class _Resource(msgspec.Struct, frozen=True):
    resource_kind: str
    metadata: _Metadata = _Metadata()
    spec: msgspec.Raw = msgspec.Raw(b'{}')


class _ConfigurationDocument(msgspec.Struct, frozen=True):
    # A number of eight hexadecimal digits.
    version: str
    resources: tuple[_Resource, ...] = ()


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1


class _RouteSpec(msgspec.Struct, frozen=True):
    host: str
    prefix: str
    kind: str = ''
    timeout_s: float = 10
    target_latency_s: float = 1
    priority: int = 0
    service: str | None = None
    split: tuple[_Split, ...] | None = None
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    home_regions: tuple[str, ...] | None = None


class _ServiceSpec(msgspec.Struct, frozen=True):
    cold_start_s: float = 0
    cold_per_s: float = 0
    max_conns: int = 0


class _TenantSpec(msgspec.Struct, frozen=True):
    api_keys: tuple[str, ...] | None = None
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None
    home_regions: tuple[str, ...] | None = None


class _LimitsSpec(msgspec.Struct, frozen=True):
    max_header_bytes: int = RequestLimits().header_bytes
    max_body_bytes: int = RequestLimits().body_bytes
    header_timeout_s: float = RequestLimits().header_timeout_s
    idle_timeout_s: float = RequestLimits().idle_timeout_s


def decode_catalog(content: bytes) -> Result[Catalog, MalformedSourceError]:
    """Decode the content of the configuration row.

    An error tells what is wrong with it.
    """
    try:
        return Ok(_decode_document(content))
    except DECODE_ERRORS as error:
        return Err(MalformedSourceError('configuration', str(error)))


def _decode_document(content: bytes) -> Catalog:
    document = msgspec.json.decode(content, type=_ConfigurationDocument)
    by_kind: dict[str, list[_Resource]] = {}
    for resource in document.resources:
        by_kind.setdefault(resource.resource_kind, []).append(resource)
    limits = by_kind.get('limits', [])
    return Catalog(
        version=int(document.version, _HEXADECIMAL_BASE),
        routes=tuple(map(_decode_route, by_kind.get('routes', ()))),
        pools=tuple(map(_decode_pool, by_kind.get('services', ()))),
        customers=tuple(map(_decode_customer, by_kind.get('tenants', ()))),
        limits=_decode_limits(limits[0]) if limits else RequestLimits(),
    )


def _decode_route(resource: _Resource) -> RouteRule:
    spec = _decode_spec(resource, _RouteSpec)
    return RouteRule(
        name=resource.metadata.name,
        host=spec.host,
        prefix=spec.prefix,
        targets=_decode_targets(spec),
        is_idempotent=spec.kind == _IDEMPOTENT,
        timeout_s=spec.timeout_s,
        objective_s=spec.target_latency_s,
        priority=spec.priority,
        max_attempts=spec.max_attempts,
        is_public=spec.public,
        is_sticky=spec.sticky,
        home_regions=frozenset(spec.home_regions or ()),
    )


def _decode_targets(spec: _RouteSpec) -> tuple[Target, ...]:
    if spec.split:
        return tuple(Target(one.service, one.weight) for one in spec.split)
    return () if spec.service is None else (Target(spec.service),)


def _decode_pool(resource: _Resource) -> PoolRule:
    spec = _decode_spec(resource, _ServiceSpec)
    return PoolRule(
        name=resource.metadata.name,
        cold_s=spec.cold_start_s,
        cold_rate=spec.cold_per_s,
        max_connections=spec.max_conns,
    )


def _decode_customer(resource: _Resource) -> CustomerRule:
    spec = _decode_spec(resource, _TenantSpec)
    return CustomerRule(
        name=resource.metadata.name,
        key_digests=frozenset(map(digest_key, spec.api_keys or ())),
        priority=spec.priority,
        rate=spec.rate_per_s or 0,
        burst=spec.burst or 0,
        home_regions=frozenset(spec.home_regions or ()),
    )


def _decode_limits(resource: _Resource) -> RequestLimits:
    spec = _decode_spec(resource, _LimitsSpec)
    return RequestLimits(
        header_bytes=spec.max_header_bytes,
        body_bytes=spec.max_body_bytes,
        header_timeout_s=spec.header_timeout_s,
        idle_timeout_s=spec.idle_timeout_s,
    )


def _decode_spec(resource: _Resource, spec: type[_Spec]) -> _Spec:
    decoded: Any = msgspec.json.decode(resource.spec, type=spec)
    return decoded  # type: ignore[no-any-return]
