"""Free ports on the loopback address, for programs that tests start."""

import random
import socket

LOOPBACK = '127.0.0.1'
# Below the ephemeral ports of Linux: otherwise an outgoing connection could get
# a chosen port before the program listens on it.
_LOWEST_PORT = 20_000
_HIGHEST_PORT = 32_000


def draw_free_ports(count: int, rng: random.Random) -> list[int]:
    """Return random consecutive ports that are free for TCP and UDP.

    >>> first, second = draw_free_ports(2, random.Random(1))
    >>> second - first
    1
    """
    while True:
        first = rng.randrange(_LOWEST_PORT, _HIGHEST_PORT)
        ports = list(range(first, first + count))
        if all(map(_is_free, ports)):
            return ports


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as trial_socket:
            try:
                trial_socket.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
