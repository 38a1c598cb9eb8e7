"""Settings file that the users' platform writes for a process of a host."""

from pathlib import Path
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from crocusshunt.core import DECODE_ERRORS, parse_address, parse_count
from crocusshunt.front import (
    DeploymentLimits,
    FrontSettings,
    MalformedSourceError,
)

SETTINGS_VARIABLE = 'CROCUSSHUNT_CONFIG'

_BYTES_PER_MB = 1_000_000
_MAX_PORT = 65_535
_Positive = Annotated[float, msgspec.Meta(gt=0)]
_PositiveCount = Annotated[int, msgspec.Meta(gt=0)]
# The port after it is used, too.
_InternalPort = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT - 1)]
_READ_ERRORS = (OSError, LookupError, *DECODE_ERRORS)


class _MachineSection(msgspec.Struct, frozen=True):
    memory_mb: _Positive = 200
    max_fds: _PositiveCount = 4100


class _HostSection(msgspec.Struct, frozen=True):
    node_name: str
    ip: str
    zone: str
    region: str
    # True when the whole system starts for the first time.
    bootstrap: bool = False
    limits: _MachineSection = _MachineSection()


class _NetworkSection(msgspec.Struct, frozen=True):
    # Address of each service of the host, by name of the service.
    listen: dict[str, str]
    # First and last port reserved for traffic between the hosts' processes.
    internal_ports: tuple[_InternalPort, ...]
    # Region of each zone, that is, failure domain.
    zones: dict[str, str]


class _StoreSection(msgspec.Struct, frozen=True):
    address: str


class _PlatformSection(msgspec.Struct, frozen=True):
    platform: _StoreSection


class _BoundsSection(msgspec.Struct, frozen=True):
    grace_s: float = 6
    budget_ratio: float = 0.2
    budget_window_s: float = 10
    # Retries of all hosts together in a window, beyond the ratio.
    budget_extra: float = 60
    ttl_max_s: float = 5


class _TermsSection(msgspec.Struct, frozen=True):
    bounds: _BoundsSection = _BoundsSection()


class _SettingsDocument(msgspec.Struct, frozen=True):
    own_host: _HostSection = msgspec.field(name='self')
    network: _NetworkSection
    platform: _PlatformSection
    terms: _TermsSection = _TermsSection()


def read_front_settings(
    path: Path,
) -> Result[FrontSettings, MalformedSourceError]:
    """Read the settings of this process; an error tells what is wrong."""
    try:
        return Ok(_decode(path.read_bytes()))
    except _READ_ERRORS as error:
        return Err(MalformedSourceError(f'settings {path}', str(error)))


def _decode(content: bytes) -> FrontSettings:
    document = msgspec.json.decode(content, type=_SettingsDocument)
    own_host = document.own_host
    network = document.network
    bounds = document.terms.bounds
    return FrontSettings(
        name=own_host.node_name,
        ip=own_host.ip,
        region=own_host.region,
        failure_domain=own_host.zone,
        front_address=_read_address(network, 'front'),
        ready_address=_read_address(network, 'ready'),
        directory_address=_read_address(network, 'directory'),
        internal_port=network.internal_ports[0],
        regions=network.zones,
        store_address=document.platform.platform.address,
        limits=DeploymentLimits(
            grace_s=bounds.grace_s,
            retry_ratio=bounds.budget_ratio,
            retry_window_s=bounds.budget_window_s,
            retry_extra=bounds.budget_extra,
            max_lookup_ttl_s=bounds.ttl_max_s,
        ),
        is_first_start=own_host.bootstrap,
        memory_bytes=int(own_host.limits.memory_mb * _BYTES_PER_MB),
        max_descriptors=own_host.limits.max_fds,
    )


def _read_address(network: _NetworkSection, service: str) -> str:
    """Return where a service of this host listens.

    :raises ValueError: the address has no port or no IP address.
    """
    address = network.listen[service]
    host, _separator, digits = address.rpartition(':')
    port = parse_count(digits)
    is_port = port is not None and 0 < port <= _MAX_PORT
    if not is_port or parse_address(host).is_err():
        raise ValueError(f'address of {service}: {address}')
    return address
