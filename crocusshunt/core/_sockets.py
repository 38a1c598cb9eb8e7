"""Sockets that notice a peer which has gone silent."""

import socket
from typing import Any

# A peer that acknowledges nothing for this long is gone, in milliseconds.
_UNACKNOWLEDGED_MS = 2500
_SILENCE_BEFORE_PROBE_S = 2
_PROBE_INTERVAL_S = 1
_PROBES = 2

AddressInfo = tuple[Any, Any, int, str, Any]


def enable_keepalive(sock: socket.socket) -> None:
    """Let a connection break a few seconds after its peer fell silent."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _SILENCE_BEFORE_PROBE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _PROBES)


def create_keepalive_socket(address: AddressInfo) -> socket.socket:
    """Return a new socket for an address, as a factory for connectors."""
    family, kind, protocol, *_rest = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock
