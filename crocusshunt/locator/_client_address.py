"""Determination of the client address that a look-up is for."""

from dataclasses import dataclass

from result import Result

from crocusshunt.core import InvalidAddressError, IPAddress, parse_address


@dataclass(frozen=True, slots=True)
class LookupOrigin:
    """Addresses in a look-up request; all but ``peer`` can be forged.

    :param peer: address of the other end of the connection.
    :param forwarded: value of the header ``X-Forwarded-For``, empty if
        absent.
    :param client: value of the query parameter ``client``, empty if absent.
    """

    peer: str
    forwarded: str = ''
    client: str = ''


def find_client_address(
    origin: LookupOrigin,
    trusted_forwarders: tuple[str, ...],
) -> Result[IPAddress, InvalidAddressError]:
    """Return the address of the client that a look-up is for.

    Only a trusted forwarder may name another client; otherwise the result is
    the peer's address. The query parameter has precedence over the header.
    Of the header the last address is used: it is the one that the forwarder
    itself saw, while earlier ones may be forged.

    :param origin: addresses in the request.
    :param trusted_forwarders: addresses of the trusted forwarders.

    >>> origin = LookupOrigin('10.0.0.1', client='10.20.0.1')
    >>> find_client_address(origin, ()).unwrap()
    IPv4Address('10.0.0.1')
    >>> find_client_address(origin, ('10.0.0.1',)).unwrap()
    IPv4Address('10.20.0.1')
    """
    if origin.peer not in trusted_forwarders:
        return parse_address(origin.peer)
    claimed = origin.client or origin.forwarded.split(',')[-1].strip()
    return parse_address(claimed or origin.peer)
