"""Ranks entry hosts for callers and balances load between regions."""

from crocusshunt.steering._balance import (
    BalanceInputs,
    BalanceSettings,
    advance_plan,
)
from crocusshunt.steering._blocks import BlockTable
from crocusshunt.steering._host_ranking import (
    Caller,
    EntryHostRanker,
    index_link_delays,
)
from crocusshunt.steering._link_budget import LinkBudget
from crocusshunt.steering._load_plan import FlowKey, LoadPlan
from crocusshunt.steering._prefix_map import PrefixMap
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
    'index_link_delays',
)
