"""Limits on what callers make a host keep."""

from dataclasses import dataclass

# What a process takes without anything that callers send or leave unread.
_PROCESS_BYTES = 90_000_000
# A host keeps so much in any case: one body of the largest size and the rest.
_MIN_HOST_BYTES = 75_497_472
_BODY_FRACTION = 0.62
# Each connection may need another one to a server. The rest is for connections
# to other hosts and the store, and files.
_CONNECTION_FRACTION = 0.32
_HOST_FRACTION = 0.12
_RESERVED_FRACTION = 0.03
_EARLY_FRACTION = 0.07


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """Limits on what callers make a host keep.

    The defaults are those of a machine with 200 MB and 4,100 descriptors.

    :param max_host_bytes: most bytes of all connections.
    :param max_body_bytes: most bytes of all bodies, without the small ones;
        one more is refused.
    :param single_body_bytes: the same for one that has no long one beside it.
    :param small_body_bytes: a body up to this size is small.
    :param small_reserve_bytes: bytes beside ``max_body_bytes`` that are left to
        small bodies.
    :param max_connection_bytes: most bytes of one connection without bodies;
        it fits the longest answer of a server.
    :param max_connections: most connections of callers.
    :param max_host_connections: most connections of other hosts.
    :param reserved_connections: most connections to each of the other ports.
    :param max_early_requests: most requests that have begun before their turn
        on their connections.
    """

    max_host_bytes: int = 110_000_000
    max_body_bytes: int = 68_200_000
    single_body_bytes: int = 67_108_864
    small_body_bytes: int = 65_536
    small_reserve_bytes: int = 4_000_000
    max_connection_bytes: int = 37_748_736
    max_connections: int = 1312
    max_host_connections: int = 492
    reserved_connections: int = 123
    max_early_requests: int = 287


def create_ingress_limits(
    memory_bytes: int, max_descriptors: int
) -> IngressLimits:
    """Return the limits of a host.

    :param memory_bytes: memory of its machine.
    :param max_descriptors: most descriptors of its process.

    >>> create_ingress_limits(200_000_000, 4100) == IngressLimits()
    True
    """
    host_bytes = max(memory_bytes - _PROCESS_BYTES, _MIN_HOST_BYTES)
    return IngressLimits(
        max_host_bytes=host_bytes,
        max_body_bytes=int(host_bytes * _BODY_FRACTION),
        max_connections=int(max_descriptors * _CONNECTION_FRACTION),
        max_host_connections=int(max_descriptors * _HOST_FRACTION),
        reserved_connections=int(max_descriptors * _RESERVED_FRACTION),
        max_early_requests=int(max_descriptors * _EARLY_FRACTION),
    )
