"""Opening of connections to backend servers."""

import asyncio

from result import Err

from crocusshunt.core import parse_socket_address
from crocusshunt.upstream._buffering import BufferLimit
from crocusshunt.upstream._connection import Connection
from crocusshunt.upstream._errors import NotConnectedError
from crocusshunt.upstream._messages import EchoPolicy
from crocusshunt.upstream._protocol import StreamProtocol


async def open_connection(
    address: str,
    echo_policy: EchoPolicy,
    timeout_s: float,
    buffer_limit: BufferLimit,
) -> Connection:
    """Open a connection.

    :param address: ``ip:port`` of the backend server.
    :param buffer_limit: bounds the bodies of all connections that use it.
    :param timeout_s: longest wait for the connection, in seconds.
    :raises NotConnectedError: it could not be opened in time.
    """
    parsed = parse_socket_address(address)
    if isinstance(parsed, Err):
        raise NotConnectedError(str(parsed.err_value))
    target = parsed.ok_value
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _transport, protocol = await loop.create_connection(
                StreamProtocol,
                target.host,
                target.port,
            )
    except (OSError, TimeoutError) as error:
        raise NotConnectedError(type(error).__name__) from error
    return Connection(protocol, echo_policy, buffer_limit)
