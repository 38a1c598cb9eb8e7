"""The configuration table of witnesses, and its checks."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from crocusshunt.core import Fault
from crocusshunt.routing import (
    FailureDomain,
    Name,
    Tables,
    find_shared_addresses,
    register_check,
    register_table,
)

WireAddress = Annotated[str, Meta(pattern='^tcp://[0-9.]+:[0-9]{1,5}$')]


@register_table('witness')
@dataclass(frozen=True, slots=True)
class Witness:
    """A process that acts as witness; a majority is one of these rows.

    :param address: ``tcp://ip:port`` where its ``crocus-api`` listens.
    """

    name: Name
    address: WireAddress
    region: str
    failure_domain: str


@register_check
def _check_addresses(tables: Tables) -> Iterator[Fault]:
    witnesses = tables.select(Witness)
    addresses = ((witness.name, witness.address) for witness in witnesses)
    return find_shared_addresses('witness', addresses)


@register_check
def _check_domains(tables: Tables) -> Iterator[Fault]:
    domains = {row.name: row.region for row in tables.select(FailureDomain)}
    for witness in tables.select(Witness):
        place = f'witness {witness.name}'
        if domains.get(witness.failure_domain) != witness.region:
            allowed = ', '.join(sorted(domains)) or 'none yet'
            problem = 'failure domain does not exist in its region'
            yield Fault(place, problem, allowed)
