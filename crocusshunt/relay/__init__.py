"""Relay of the table service over the processes' message sockets.

Processes that load no HTTP library reach the table service through a process
of the operators' interface.
"""

from crocusshunt.relay._client import RelayedTables, RelaySettings
from crocusshunt.relay._server import register_relay

__all__ = ('RelaySettings', 'RelayedTables', 'register_relay')
