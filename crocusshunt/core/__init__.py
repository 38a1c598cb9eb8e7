"""Types and functions that all other packages use: clocks, errors, hashing."""

from crocusshunt.core._clock import Clock, ManualClock, SystemClock
from crocusshunt.core._counts import parse_count
from crocusshunt.core._decoding import DECODE_ERRORS
from crocusshunt.core._errors import CrocusError, Fault, InvalidAddressError
from crocusshunt.core._hashing import (
    draw_uniform,
    rank_by_rendezvous,
    score_rendezvous,
)
from crocusshunt.core._identity import HostIdentity, IdentifierGenerator
from crocusshunt.core._network import (
    IPAddress,
    IPNetwork,
    SocketAddress,
    parse_address,
    parse_network,
    parse_socket_address,
)
from crocusshunt.core._sockets import create_outgoing_socket, prepare_outgoing
from crocusshunt.core._validation import InputSource, convert_fields

__all__ = (
    'DECODE_ERRORS',
    'Clock',
    'CrocusError',
    'Fault',
    'HostIdentity',
    'IPAddress',
    'IPNetwork',
    'IdentifierGenerator',
    'InputSource',
    'InvalidAddressError',
    'ManualClock',
    'SocketAddress',
    'SystemClock',
    'convert_fields',
    'create_outgoing_socket',
    'draw_uniform',
    'prepare_outgoing',
    'parse_address',
    'parse_count',
    'parse_network',
    'parse_socket_address',
    'rank_by_rendezvous',
    'score_rendezvous',
)
