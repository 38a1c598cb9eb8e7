"""HTTP client of the table service behind the project's own interface."""

from crocusshunt.storeclient._client import HttpPlatform, PlatformSettings
from crocusshunt.storeclient._policy import CallPolicy, CircuitState, Tally

__all__ = (
    'CallPolicy',
    'CircuitState',
    'HttpPlatform',
    'PlatformSettings',
    'Tally',
)
