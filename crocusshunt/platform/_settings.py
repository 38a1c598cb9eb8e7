"""The settings file that the users' platform writes for a process."""

from pathlib import Path

import msgspec
from result import Err, Ok, Result

from crocusshunt.front import (
    DeploymentLimits,
    FrontSettings,
    MalformedSourceError,
)

SETTINGS_VARIABLE = 'CROCUSSHUNT_CONFIG'

_READ_ERRORS = (OSError, msgspec.DecodeError, ValueError, LookupError)


class _Place(msgspec.Struct, frozen=True):
    node_name: str
    ip: str
    zone: str
    region: str


class _Network(msgspec.Struct, frozen=True):
    # Addresses by what is served there.
    listen: dict[str, str]
    # First and last port that are free for traffic between our processes.
    internal_ports: tuple[int, ...]
    zones: dict[str, str]


class _Store(msgspec.Struct, frozen=True):
    address: str


class _Platform(msgspec.Struct, frozen=True):
    platform: _Store


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 6
    budget_ratio: float = 0.2
    budget_window_s: float = 10
    # Retries over all machines in a window, beyond the ratio.
    budget_extra: float = 60
    ttl_max_s: float = 5


class _Terms(msgspec.Struct, frozen=True):
    bounds: _Bounds = _Bounds()


class _Document(msgspec.Struct, frozen=True):
    me: _Place = msgspec.field(name='self')
    network: _Network
    platform: _Platform
    terms: _Terms = _Terms()


def read_front_settings(
    path: Path,
) -> Result[FrontSettings, MalformedSourceError]:
    """Return the settings of this process, or what is wrong with them."""
    try:
        return Ok(_decode(path.read_bytes()))
    except _READ_ERRORS as error:
        return Err(MalformedSourceError(f'settings {path}', str(error)))


def _decode(content: bytes) -> FrontSettings:
    decoded = msgspec.json.decode(content, type=_Document)
    me = decoded.me
    network = decoded.network
    bounds = decoded.terms.bounds
    return FrontSettings(
        name=me.node_name,
        ip=me.ip,
        region=me.region,
        failure_domain=me.zone,
        front_address=network.listen['front'],
        ready_address=network.listen['ready'],
        directory_address=network.listen['directory'],
        internal_port=network.internal_ports[0],
        regions=network.zones,
        store_address=decoded.platform.platform.address,
        limits=DeploymentLimits(
            grace_s=bounds.grace_s,
            retry_ratio=bounds.budget_ratio,
            retry_window_s=bounds.budget_window_s,
            retry_extra=bounds.budget_extra,
            max_lookup_ttl_s=bounds.ttl_max_s,
        ),
    )
