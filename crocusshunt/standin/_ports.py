"""Ports on the loopback address for programs that are told theirs."""

import random
import socket

LOOPBACK = '127.0.0.1'
# Below the ports that Linux gives to outgoing connections, one of which would
# otherwise take a drawn port before its program listens on it.
_LOWEST_PORT = 20_000
_HIGHEST_PORT = 32_000


def draw_free_ports(count: int, draw: random.Random) -> list[int]:
    """Return ports in a row that are free for streams and datagrams.

    >>> first, second = draw_free_ports(2, random.Random(1))
    >>> second - first
    1
    """
    while True:
        first = draw.randrange(_LOWEST_PORT, _HIGHEST_PORT)
        ports = list(range(first, first + count))
        if all(map(_is_free, ports)):
            return ports


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
