"""The hosts of the system, and the messages between them."""

from crocusshunt.fleet._addresses import OwnState, find_front_addresses
from crocusshunt.fleet._datagrams import (
    DatagramEndpoint,
    open_datagram_endpoint,
)
from crocusshunt.fleet._host_records import HostRecord, decode_host
from crocusshunt.fleet._lease_messages import (
    KeptRange,
    LeaseMessage,
    LeaseNotice,
    LeaseRecall,
    LeasesDropped,
    PartLeases,
    PartRequest,
    TokenReply,
    TokenRequest,
)
from crocusshunt.fleet._lease_space import (
    LeaseTurns,
    measure_lease_space,
    measure_name,
)
from crocusshunt.fleet._messages import (
    Heartbeat,
    Message,
    RegionSummary,
    StatusMessage,
    StatusPart,
    decode_message,
    encode,
)
from crocusshunt.fleet._parts import MAX_DATAGRAM_BYTES, split_status
from crocusshunt.fleet._reaching import (
    choose_relays,
    list_reaching,
    list_relays,
)
from crocusshunt.fleet._view import FleetSettings, FleetView, Peer

__all__ = (
    'MAX_DATAGRAM_BYTES',
    'DatagramEndpoint',
    'FleetSettings',
    'FleetView',
    'Heartbeat',
    'HostRecord',
    'KeptRange',
    'LeaseMessage',
    'LeaseNotice',
    'LeaseRecall',
    'LeaseTurns',
    'LeasesDropped',
    'Message',
    'OwnState',
    'PartLeases',
    'PartRequest',
    'Peer',
    'RegionSummary',
    'StatusMessage',
    'StatusPart',
    'TokenReply',
    'TokenRequest',
    'choose_relays',
    'decode_host',
    'decode_message',
    'encode',
    'find_front_addresses',
    'list_reaching',
    'list_relays',
    'measure_lease_space',
    'measure_name',
    'open_datagram_endpoint',
    'split_status',
)
