"""Datagrams between hosts."""

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from crocusshunt.logs import log_event

# Of so many refused datagrams the first one is logged.
_LOGGED_COUNT = 100

# Gets the content of a datagram and the address of its sender, ``ip:port``.
Receive = Callable[[bytes, str], None]


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams on one port."""

    def __init__(self, receive: Receive) -> None:
        """Prepare an endpoint; it is opened by the event loop.

        :param receive: called with each received datagram and its sender.
        """
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None
        self.refused = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, which is needed to send."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, content: bytes, sender: tuple[str, int]
    ) -> None:
        """Pass a received datagram on."""
        ip, port = sender
        self._receive(content, f'{ip}:{port}')

    def error_received(self, error: Exception) -> None:
        """Count an error of an earlier datagram; it is not sent again.

        The next heartbeat replaces it.
        """
        self.refused += 1
        if self.refused % _LOGGED_COUNT == 1:
            log_event(
                'datagrams refused',
                logging.WARNING,
                error=repr(error),
                refused=self.refused,
            )

    def send(self, content: bytes, host: str, port: int) -> None:
        """Send a datagram, which may be lost; without a port it is dropped."""
        if self._transport is not None:
            self._transport.sendto(content, (host, port))

    def close(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()


async def open_datagram_endpoint(
    host: str,
    port: int,
    receive: Receive,
) -> DatagramEndpoint:
    """Open a UDP port.

    :param receive: called with each received datagram and its sender.
    """
    loop = asyncio.get_running_loop()
    _transport, endpoint = await loop.create_datagram_endpoint(
        lambda: DatagramEndpoint(receive),
        local_addr=(host, port),
    )
    return endpoint
