"""Values, errors, clocks and addresses that every subject builds on."""

from crocusshunt.core._clock import Clock, ManualClock, SystemClock
from crocusshunt.core._errors import CrocusError, Fault, InvalidAddressError
from crocusshunt.core._hashing import (
    draw_uniform,
    rank_by_rendezvous,
    score_rendezvous,
)
from crocusshunt.core._identity import HostIdentity, Identifiers
from crocusshunt.core._network import (
    IPAddress,
    IPNetwork,
    parse_address,
    parse_network,
)
from crocusshunt.core._sockets import create_watched_socket, watch_socket
from crocusshunt.core._validation import Source, convert_fields

__all__ = (
    'Clock',
    'CrocusError',
    'Fault',
    'HostIdentity',
    'IPAddress',
    'IPNetwork',
    'Identifiers',
    'InvalidAddressError',
    'ManualClock',
    'Source',
    'SystemClock',
    'convert_fields',
    'create_watched_socket',
    'draw_uniform',
    'parse_address',
    'parse_network',
    'rank_by_rendezvous',
    'score_rendezvous',
    'watch_socket',
)
