"""The hosts of the system, and what they tell each other."""

from crocusshunt.fleet._datagrams import (
    DatagramEndpoint,
    open_datagram_endpoint,
)
from crocusshunt.fleet._messages import (
    Heartbeat,
    HostRecord,
    decode_heartbeat,
    decode_host,
    encode,
)
from crocusshunt.fleet._view import FleetSettings, FleetView, Peer

__all__ = (
    'DatagramEndpoint',
    'FleetSettings',
    'FleetView',
    'Heartbeat',
    'HostRecord',
    'Peer',
    'decode_heartbeat',
    'decode_host',
    'encode',
    'open_datagram_endpoint',
)
