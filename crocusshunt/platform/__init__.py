"""HTTP client of the platform."""

from crocusshunt.platform._client import HttpPlatform, PlatformSettings
from crocusshunt.platform._policy import CallPolicy, CircuitState, Tally

__all__ = (
    'CallPolicy',
    'CircuitState',
    'HttpPlatform',
    'PlatformSettings',
    'Tally',
)
