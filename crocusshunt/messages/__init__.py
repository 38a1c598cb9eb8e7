"""Typed, versioned messages between the system's processes."""

from crocusshunt.messages._bodies import Body, Refusal, register_body
from crocusshunt.messages._codec import (
    PROTOCOL_VERSION,
    Codec,
    DamagedMessageError,
    MessageError,
    UnknownKindError,
    UnknownVersionError,
)
from crocusshunt.messages._configuration import (
    AnnounceChange,
    ChangeFeed,
    ChangeNoted,
    FetchChanges,
    FetchTestimony,
    GivenTestimony,
    SnapshotFeed,
)
from crocusshunt.messages._errors import (
    PeerRefusalError,
    PeerTimeoutError,
    TransportError,
)
from crocusshunt.messages._heartbeats import GatewayHeartbeat, HeartbeatNoted
from crocusshunt.messages._loans import (
    BorrowTokens,
    FencedLease,
    LeaseEpoch,
    LeasesRenewed,
    RenewLeases,
    TokenLoan,
)
from crocusshunt.messages._membership import (
    FetchHosts,
    FetchMembers,
    HostList,
    Member,
    MemberList,
    MemberStatus,
    Probe,
    ProbeAnswer,
    RelayProbe,
)
from crocusshunt.messages._sockets import (
    Handlers,
    Replier,
    Requester,
    RequesterPool,
)
from crocusshunt.messages._store import (
    QueryRows,
    ReadRow,
    StoredRows,
    Transacted,
    TransactRows,
    WriteConflict,
)

__all__ = (
    'PROTOCOL_VERSION',
    'AnnounceChange',
    'Body',
    'BorrowTokens',
    'ChangeFeed',
    'ChangeNoted',
    'Codec',
    'DamagedMessageError',
    'FencedLease',
    'FetchChanges',
    'FetchHosts',
    'FetchMembers',
    'GatewayHeartbeat',
    'FetchTestimony',
    'GivenTestimony',
    'Handlers',
    'HeartbeatNoted',
    'HostList',
    'Member',
    'MemberList',
    'MemberStatus',
    'LeaseEpoch',
    'LeasesRenewed',
    'MessageError',
    'PeerRefusalError',
    'PeerTimeoutError',
    'Probe',
    'ProbeAnswer',
    'QueryRows',
    'ReadRow',
    'Refusal',
    'RelayProbe',
    'RenewLeases',
    'Replier',
    'Requester',
    'RequesterPool',
    'SnapshotFeed',
    'StoredRows',
    'TokenLoan',
    'TransactRows',
    'Transacted',
    'TransportError',
    'UnknownKindError',
    'UnknownVersionError',
    'WriteConflict',
    'register_body',
)
