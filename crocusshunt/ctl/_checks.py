"""Commands that validate a host's input files without a running host."""

from collections import Counter
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from crocusshunt.catalog import Catalog
from crocusshunt.core import Fault
from crocusshunt.ctl._commands import Context, ExitStatus, register_command
from crocusshunt.ctl._failures import report_faults
from crocusshunt.platform import decode_catalog, read_front_settings


class CheckedSettings(msgspec.Struct, frozen=True):
    """Settings as a host would read them from its settings file.

    :param host: name of the host.
    :param front: address at which the host accepts requests.
    :param store: address of the store.
    """

    host: str
    region: str
    failure_domain: str
    front: str
    store: str


class CheckedConfiguration(msgspec.Struct, frozen=True):
    """Size of a configuration as a host would read it.

    :param public_routes: number of routes that need no key.
    """

    version: int
    routes: int
    public_routes: int
    pools: int
    customers: int
    keys: int


@register_command('check', 'settings')
async def check_settings(context: Context) -> ExitStatus:
    """Validate a settings file as a host does when it starts."""
    path = Path(context.arguments['FILE'])
    settings = read_front_settings(path)
    if isinstance(settings, Err):
        problem = settings.err_value.problem
        return report_faults(context, (Fault(str(path), problem),))
    found = settings.ok_value
    document = CheckedSettings(
        host=found.name,
        region=found.region,
        failure_domain=found.failure_domain,
        front=found.front_address,
        store=found.store_address,
    )
    line = (
        f'host {document.host} in {document.failure_domain} '
        f'({document.region}), requests at {document.front}, '
        f'store at {document.store}'
    )
    context.console.write_outcome(document, (line,))
    return ExitStatus.done


@register_command('check', 'configuration')
async def check_configuration(context: Context) -> ExitStatus:
    """Validate a configuration as a host does, and find contradictions."""
    path = Path(context.arguments['FILE'])
    catalog = _read_catalog(path)
    if isinstance(catalog, Err):
        return report_faults(context, (catalog.err_value,))
    found = catalog.ok_value
    faults = _find_contradictions(found)
    if faults:
        return report_faults(context, faults)
    document = CheckedConfiguration(
        version=found.version,
        routes=len(found.routes),
        public_routes=sum(route.is_public for route in found.routes),
        pools=len(found.pools),
        customers=len(found.customers),
        keys=sum(len(one.key_digests) for one in found.customers),
    )
    line = (
        f'version {document.version}: {document.routes} routes '
        f'({document.public_routes} public) to {document.pools} pools, '
        f'{document.customers} customers with {document.keys} keys'
    )
    context.console.write_outcome(document, (line,))
    return ExitStatus.done


def _read_catalog(path: Path) -> Result[Catalog, Fault]:
    try:
        content = path.read_bytes()
    except OSError as error:
        return Err(Fault(str(path), str(error)))
    decoded = decode_catalog(content)
    if isinstance(decoded, Err):
        return Err(Fault(str(path), decoded.err_value.problem))
    return Ok(decoded.ok_value)


def _find_contradictions(catalog: Catalog) -> tuple[Fault, ...]:
    """Return contradictions that a host accepts but that must be mistakes.

    These are routes to pools that are not listed, several routes with the
    same host and path prefix, and keys that several customers share.
    """
    pools = {pool.name for pool in catalog.pools}
    faults = [
        Fault(f'route {route.name}', f'pool {target.pool} is not listed')
        for route in catalog.routes
        for target in route.targets
        if target.pool not in pools
    ]
    places = Counter(
        (route.host.lower(), route.prefix) for route in catalog.routes
    )
    faults.extend(
        Fault(f'{host}{prefix}', f'{count} routes take these requests')
        for (host, prefix), count in sorted(places.items())
        if count > 1
    )
    holders = Counter(
        digest for one in catalog.customers for digest in one.key_digests
    )
    shared = [digest for digest, count in holders.items() if count > 1]
    faults.extend(
        Fault(f'customer {one.name}', 'shares a key with another customer')
        for one in catalog.customers
        if one.key_digests.intersection(shared)
    )
    return tuple(faults)
