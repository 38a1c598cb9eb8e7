"""Rows of drains."""

from dataclasses import dataclass
from enum import Enum

from crocusshunt.routing import Name, register_table


class DrainKind(str, Enum):
    """What a drain empties."""

    server = 'server'
    pool = 'pool'
    host = 'host'
    failure_domain = 'failure_domain'
    region = 'region'


@register_table('drain')
@dataclass(frozen=True, slots=True)
class Drain:
    """Empties a part of the system for as long as the row exists.

    :param target: name of the backend server, pool, host, failure domain or
        region.
    :param override: True to drain although there is no room for the load;
        the change's author and reason are its audit record.
    """

    name: Name
    kind: DrainKind
    target: str
    override: bool = False
