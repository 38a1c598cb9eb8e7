"""Parsing of IP addresses and networks."""

from dataclasses import dataclass
from ipaddress import (
    IPv4Address,
    IPv4Network,
    IPv6Address,
    IPv6Network,
    ip_address,
    ip_network,
)

from result import Err, Ok, Result

from crocusshunt.core._counts import parse_count
from crocusshunt.core._errors import InvalidAddressError

IPAddress = IPv4Address | IPv6Address
IPNetwork = IPv4Network | IPv6Network

_MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """IP address and port of a socket."""

    host: str
    port: int


def parse_address(text: str) -> Result[IPAddress, InvalidAddressError]:
    """Parse an IP address; an IPv4-mapped IPv6 address becomes IPv4.

    :param text: an IPv4 or IPv6 address.

    >>> parse_address('::ffff:10.0.0.1').unwrap()
    IPv4Address('10.0.0.1')
    >>> parse_address('10.0.0').unwrap_err()
    InvalidAddressError(text='10.0.0')
    """
    try:
        address = ip_address(text)
    except ValueError:
        return Err(InvalidAddressError(text))
    mapped = getattr(address, 'ipv4_mapped', None)
    return Ok(mapped or address)


def parse_network(text: str) -> Result[IPNetwork, InvalidAddressError]:
    """Parse an IP network in CIDR notation.

    :param text: the network, without host bits set.

    >>> parse_network('10.1.0.0/16').unwrap()
    IPv4Network('10.1.0.0/16')
    """
    try:
        return Ok(ip_network(text))
    except ValueError:
        return Err(InvalidAddressError(text))


def parse_socket_address(
    text: str,
) -> Result[SocketAddress, InvalidAddressError]:
    """Parse the address of a socket that can be connected to.

    :param text: an IP address, a colon and a port from 1 to 65,535; names of
        hosts are not looked up.

    >>> parse_socket_address('10.0.0.1:80').unwrap()
    SocketAddress(host='10.0.0.1', port=80)
    >>> parse_socket_address('10.0.0.1:65536').unwrap_err()
    InvalidAddressError(text='10.0.0.1:65536')
    """
    host, _separator, digits = text.rpartition(':')
    port = parse_count(digits)
    parsed = parse_address(host)
    if port is None or not 0 < port <= _MAX_PORT or isinstance(parsed, Err):
        return Err(InvalidAddressError(text))
    address = parsed.ok_value
    if address.is_unspecified or address.is_multicast:
        return Err(InvalidAddressError(text))
    return Ok(SocketAddress(str(address), port))
