"""Look-ups of entry hosts, and load between regions."""

from crocusshunt.steering._balance import (
    BalanceFacts,
    BalanceSettings,
    advance_plan,
)
from crocusshunt.steering._blocks import BlockTable
from crocusshunt.steering._links import LinkBudget
from crocusshunt.steering._lookup import Caller, Directory, measure_delays
from crocusshunt.steering._plans import FlowKey, Plan
from crocusshunt.steering._prefixes import PrefixMap
from crocusshunt.steering._readings import (
    LinkLoad,
    Obstacle,
    PoolLoad,
    Readings,
    check_reading,
)

__all__ = (
    'BalanceFacts',
    'BalanceSettings',
    'BlockTable',
    'Caller',
    'Directory',
    'FlowKey',
    'LinkBudget',
    'LinkLoad',
    'Obstacle',
    'Plan',
    'PoolLoad',
    'PrefixMap',
    'Readings',
    'advance_plan',
    'check_reading',
    'measure_delays',
)
