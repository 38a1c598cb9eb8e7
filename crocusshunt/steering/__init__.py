"""Which entry hosts a caller should use."""

from crocusshunt.steering._blocks import BlockTable
from crocusshunt.steering._lookup import Caller, Directory, measure_delays
from crocusshunt.steering._prefixes import PrefixMap

__all__ = (
    'BlockTable',
    'Caller',
    'Directory',
    'PrefixMap',
    'measure_delays',
)
