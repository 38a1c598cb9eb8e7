"""HTTP client of the platform, with retries and a circuit breaker."""

from crocusshunt.storeclient._client import HttpPlatform, PlatformSettings
from crocusshunt.storeclient._call_policy import (
    CallPolicy,
    CallRates,
    CircuitState,
)

__all__ = (
    'CallPolicy',
    'CallRates',
    'CircuitState',
    'HttpPlatform',
    'PlatformSettings',
)
