"""Limits that all hosts share, kept without asking another host."""

from crocusshunt.sharing._buckets import CustomerLimiter, Grant, TokenBucket
from crocusshunt.sharing._demand import DemandMeter
from crocusshunt.sharing._retries import RetryLimit, RetryLimiter
from crocusshunt.sharing._shares import GroupDemand, divide_rate
from crocusshunt.sharing._spacing import SpacedLimiter

__all__ = (
    'CustomerLimiter',
    'DemandMeter',
    'Grant',
    'GroupDemand',
    'RetryLimit',
    'RetryLimiter',
    'SpacedLimiter',
    'TokenBucket',
    'divide_rate',
)
