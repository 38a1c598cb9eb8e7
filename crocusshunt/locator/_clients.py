"""Whose address a look-up is for."""

from dataclasses import dataclass

from result import Result

from crocusshunt.core import InvalidAddressError, IPAddress, parse_address


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a look-up came from, as its request says.

    :param peer: address of the connection's other end.
    :param forwarded: value of ``X-Forwarded-For``.
    :param client: value of the query parameter ``client``.
    """

    peer: str
    forwarded: str = ''
    client: str = ''


def find_client(
    origin: Origin,
    trusted_forwarders: tuple[str, ...],
) -> Result[IPAddress, InvalidAddressError]:
    """Return the client's address.

    Only a trusted forwarder speaks for another client; what anyone else
    claims is passed over. The last forwarded address is the one that the
    forwarder itself saw.

    :param trusted_forwarders: addresses of the forwarders.

    >>> origin = Origin('10.0.0.1', client='10.20.0.1')
    >>> find_client(origin, ()).unwrap()
    IPv4Address('10.0.0.1')
    >>> find_client(origin, ('10.0.0.1',)).unwrap()
    IPv4Address('10.20.0.1')
    """
    if origin.peer not in trusted_forwarders:
        return parse_address(origin.peer)
    claimed = origin.client or origin.forwarded.split(',')[-1].strip()
    return parse_address(claimed or origin.peer)
