"""The table service for processes that load no HTTP library."""

from crocusshunt.relay._client import RelayedTables, RelaySettings
from crocusshunt.relay._server import register_relay

__all__ = ('RelaySettings', 'RelayedTables', 'register_relay')
