"""Look-ups of entry hosts, and load between regions."""

from crocusshunt.steering._balance import (
    BalanceInputs,
    BalanceSettings,
    advance_plan,
)
from crocusshunt.steering._blocks import BlockTable
from crocusshunt.steering._links import LinkBudget
from crocusshunt.steering._lookup import Caller, EntryHostRanker, measure_delays
from crocusshunt.steering._plans import FlowKey, LoadPlan
from crocusshunt.steering._prefixes import PrefixMap
from crocusshunt.steering._readings import (
    LinkLoad,
    Obstacle,
    PoolLoad,
    Readings,
    check_reading,
)

__all__ = (
    'BalanceInputs',
    'BalanceSettings',
    'BlockTable',
    'Caller',
    'EntryHostRanker',
    'FlowKey',
    'LinkBudget',
    'LinkLoad',
    'LoadPlan',
    'Obstacle',
    'PoolLoad',
    'PrefixMap',
    'Readings',
    'advance_plan',
    'check_reading',
    'measure_delays',
)
