"""Limits that all hosts share: rates of customers, and retries.

Each host computes its part from what it knows, without asking another host.
"""

from crocusshunt.sharing._buckets import CustomerLimiter, Grant, TokenBucket
from crocusshunt.sharing._demand import DemandMeter
from crocusshunt.sharing._keepers import CustomerShare, choose_keeper
from crocusshunt.sharing._given_leases import GivenLeases, Loans
from crocusshunt.sharing._held_leases import HeldLeases
from crocusshunt.sharing._leases import (
    LEASE_S,
    NO_STAMP,
    NO_VERSION,
    LeasePart,
    LeaseVersion,
    NameRange,
)
from crocusshunt.sharing._loans import Balance, balance_groups, divide_surplus
from crocusshunt.sharing._proportions import ProportionLimit, ProportionLimiter
from crocusshunt.sharing._retries import RetryLimit, RetryLimiter, RetryUsage
from crocusshunt.sharing._shares import GroupDemand, divide_rate
from crocusshunt.sharing._growth import DelayedGrowth
from crocusshunt.sharing._intervals import MinIntervalLimiter

__all__ = (
    'LEASE_S',
    'NO_STAMP',
    'NO_VERSION',
    'Balance',
    'CustomerLimiter',
    'CustomerShare',
    'DelayedGrowth',
    'DemandMeter',
    'GivenLeases',
    'Grant',
    'GroupDemand',
    'HeldLeases',
    'LeasePart',
    'LeaseVersion',
    'Loans',
    'MinIntervalLimiter',
    'NameRange',
    'ProportionLimit',
    'ProportionLimiter',
    'RetryLimit',
    'RetryLimiter',
    'RetryUsage',
    'TokenBucket',
    'balance_groups',
    'choose_keeper',
    'divide_rate',
    'divide_surplus',
)
