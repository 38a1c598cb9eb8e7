"""Which entry hosts a caller should use."""

from crocusshunt.steering._blocks import BlockTable
from crocusshunt.steering._lookup import (
    Caller,
    Directory,
    measure_delays,
    rank_hosts,
)

__all__ = (
    'BlockTable',
    'Caller',
    'Directory',
    'measure_delays',
    'rank_hosts',
)
