"""Limits that all hosts share: rates of customers, and retries.

Each host computes its part from what it knows, without asking another host.
"""

from crocusshunt.sharing._buckets import CustomerLimiter, Grant, TokenBucket
from crocusshunt.sharing._demand import DemandMeter
from crocusshunt.sharing._keepers import CustomerShare, choose_keeper
from crocusshunt.sharing._leases import (
    LEASE_S,
    NO_STAMP,
    GivenLeases,
    HeldLeases,
)
from crocusshunt.sharing._proportions import ProportionLimit, ProportionLimiter
from crocusshunt.sharing._retries import RetryLimit, RetryLimiter, RetryUsage
from crocusshunt.sharing._shares import GroupDemand, divide_rate
from crocusshunt.sharing._growth import DelayedGrowth
from crocusshunt.sharing._intervals import MinIntervalLimiter

__all__ = (
    'LEASE_S',
    'NO_STAMP',
    'CustomerLimiter',
    'CustomerShare',
    'DelayedGrowth',
    'DemandMeter',
    'GivenLeases',
    'Grant',
    'GroupDemand',
    'HeldLeases',
    'MinIntervalLimiter',
    'ProportionLimit',
    'ProportionLimiter',
    'RetryLimit',
    'RetryLimiter',
    'RetryUsage',
    'TokenBucket',
    'choose_keeper',
    'divide_rate',
)
