"""Look-ups of entry hosts, and load between regions."""

from crocusshunt.steering._blocks import BlockTable
from crocusshunt.steering._lookup import Caller, Directory, measure_delays
from crocusshunt.steering._prefixes import PrefixMap
from crocusshunt.steering._readings import (
    LinkLoad,
    Obstacle,
    PoolLoad,
    Readings,
    check_reading,
)

__all__ = (
    'BlockTable',
    'Caller',
    'Directory',
    'LinkLoad',
    'Obstacle',
    'PoolLoad',
    'PrefixMap',
    'Readings',
    'check_reading',
    'measure_delays',
)
