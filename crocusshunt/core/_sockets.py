"""TCP sockets that detect an unresponsive peer."""

import socket
from typing import Any

# Sent data may stay unacknowledged for this long before the kernel closes the
# connection.
_USER_TIMEOUT_MS = 2500
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2

AddressInfo = tuple[Any, Any, int, str, Any]


def enable_keepalive(sock: socket.socket) -> None:
    """Let the kernel close the connection soon after its peer stops responding.

    With unacknowledged data, the connection is closed after 2.5 s
    (``TCP_USER_TIMEOUT``). On an idle one, keepalive probes start after 2 s
    and are repeated each second; the same timeout decides when they give up,
    whatever their number, here after 3 s.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


def create_keepalive_socket(address: AddressInfo) -> socket.socket:
    """Return a non-blocking socket with keepalive enabled.

    Serves as the ``socket_factory`` of an aiohttp connector.

    :param address: an entry of ``getaddrinfo``.
    """
    family, kind, protocol, *_rest = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock
