"""Membership: which hosts exist and which of them are alive.

Controllers probe each other and exchange what they know by gossip, after the
SWIM protocol. The platform's list of hosts is a second source.
"""

from crocusshunt.membership._agent import MembershipAgent
from crocusshunt.membership._detector import Detector, DetectorSettings
from crocusshunt.membership._gossip import GossipQueue
from crocusshunt.membership._hosts import HostTable, list_usable
from crocusshunt.membership._precedence import (
    create_entry,
    create_member,
    digest_member,
    merge_members,
)
from crocusshunt.membership._presence import HEARTBEAT_PERIOD_S, GatewayPresence
from crocusshunt.membership._service import MembershipService
from crocusshunt.membership._table import MemberTable
from crocusshunt.membership._topology import ProbeTargets, assign_probe_targets
from crocusshunt.membership._transport import (
    SocketTransport,
    Traffic,
    Transport,
)

__all__ = (
    'HEARTBEAT_PERIOD_S',
    'Detector',
    'DetectorSettings',
    'GatewayPresence',
    'GossipQueue',
    'HostTable',
    'MemberTable',
    'MembershipAgent',
    'MembershipService',
    'ProbeTargets',
    'SocketTransport',
    'Traffic',
    'Transport',
    'assign_probe_targets',
    'create_entry',
    'create_member',
    'digest_member',
    'list_usable',
    'merge_members',
)
