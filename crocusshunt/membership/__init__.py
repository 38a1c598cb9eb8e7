"""Which hosts are there and which of them live."""

from crocusshunt.membership._agent import MembershipAgent
from crocusshunt.membership._detector import Detector, DetectorSettings
from crocusshunt.membership._hosts import HostTable, list_usable
from crocusshunt.membership._news import GossipQueue
from crocusshunt.membership._precedence import (
    create_entry,
    create_member,
    digest_member,
    merge_members,
)
from crocusshunt.membership._presence import HEARTBEAT_PERIOD_S, GatewayPresence
from crocusshunt.membership._service import MembershipService
from crocusshunt.membership._table import MemberTable
from crocusshunt.membership._topology import Subjects, assign_subjects
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
    'SocketTransport',
    'Subjects',
    'Traffic',
    'Transport',
    'assign_subjects',
    'create_entry',
    'create_member',
    'digest_member',
    'list_usable',
    'merge_members',
)
