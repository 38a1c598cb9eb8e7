"""TCP sockets of connections that a process opens to others."""

import socket
import struct
from typing import Any

# Sent data may stay unacknowledged for this long before the kernel closes the
# connection.
_USER_TIMEOUT_MS = 2500
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Linger enabled, for 0 s: a close resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)

AddressInfo = tuple[Any, Any, int, str, Any]


def prepare_outgoing(sock: socket.socket) -> None:
    """Let a connection end with its peer, and nothing be sent after its close.

    Whoever closes such a connection is done with it or gives up; bytes that
    the peer has not acknowledged then are discarded. A plain close would let
    the kernel deliver them seconds later, when a cut link is back.

    The kernel itself closes the connection soon after its peer stops
    responding. With unacknowledged data, the connection is closed after 2.5 s
    (``TCP_USER_TIMEOUT``). On an idle one, keepalive probes start after 2 s
    and are repeated each second; the same timeout decides when they give up,
    whatever their number, here after 3 s.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


def create_outgoing_socket(address: AddressInfo) -> socket.socket:
    """Return a non-blocking socket of :func:`prepare_outgoing`.

    Serves as the ``socket_factory`` of an aiohttp connector.

    :param address: an entry of ``getaddrinfo``.
    """
    family, kind, protocol, *_rest = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    prepare_outgoing(sock)
    return sock
