"""Configuration rows of drains."""

from dataclasses import dataclass
from enum import Enum

from crocusshunt.routing import Name, register_table


class DrainKind(str, Enum):
    """Kind of a drain's target."""

    server = 'server'
    pool = 'pool'
    host = 'host'
    failure_domain = 'failure_domain'
    region = 'region'


@register_table('drain')
@dataclass(frozen=True, slots=True)
class Drain:
    """Drain of a part of the system; in force as long as the row exists.

    A drained server, pool, host, failure domain or region receives no new
    requests, while requests that run there are completed.

    :param kind: kind of the target.
    :param target: name of the backend server, pool, host, failure domain or
        region.
    :param override: True to drain even if the remaining capacity does not
        suffice; the author and reason of the change are its audit record.
    """

    name: Name
    kind: DrainKind
    target: str
    override: bool = False
