"""Asyncio protocol that buffers the bytes of one TCP connection."""

import asyncio
import os
import socket
from typing import cast

from crocusshunt.core import prepare_outgoing
from crocusshunt.upstream._receiving import ReceivingProtocol

_READ_AHEAD_BYTES = 32_768


class StreamProtocol(ReceivingProtocol):
    """Buffers the bytes that a peer sends until they are read.

    ``is_idle`` is true between exchanges. Bytes that arrive then belong to no
    request and set ``has_unexpected_bytes``; they, or the end of the peer's
    bytes, make the connection unusable.
    """

    def __init__(self) -> None:
        """Create a protocol whose connection is not yet made."""
        self.transport: asyncio.Transport | None = None
        self.is_idle = True
        self.has_unexpected_bytes = False
        self._received = bytearray()
        self._is_ended = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether bytes can still be sent and received."""
        if self.transport is None or self._is_ended:
            return False
        return not self.transport.is_closing()

    @property
    def is_ended_by_peer(self) -> bool:
        """Tell whether the peer closed or reset the connection.

        False if it ended because the peer did not respond.
        """
        return self._is_ended and not isinstance(self._error, TimeoutError)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the options of its socket."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            prepare_outgoing(sock)

    def data_received(self, received: bytes) -> None:
        """Buffer bytes for the reader; pause reading if too many wait."""
        if self.is_idle:
            self.has_unexpected_bytes = True
        self._received += received
        if len(self._received) > _READ_AHEAD_BYTES and self.transport:
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record the end of the peer's bytes.

        The event loop also reports an end of file if bytes and a reset arrive
        together; only the error of the socket tells the two apart.
        """
        self._is_ended = True
        self._error = self._find_socket_error()
        self._wake_reader()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record the loss of the connection."""
        self._error = self._error or error
        self._is_ended = True
        self._wake_reader()

    async def read(self) -> bytes:
        """Return the next bytes, empty at the end of the peer's bytes.

        :raises ConnectionError: the connection was reset.
        """
        if not self._received and not self._is_ended:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        received = bytes(self._received)
        self._received.clear()
        if not received and self._error is not None:
            raise ConnectionResetError(str(self._error))
        if self.transport is not None and not self._is_ended:
            self.transport.resume_reading()
        return received

    def write(self, content: bytes) -> None:
        """Send bytes, or queue them while the peer doesn't read."""
        assert self.transport is not None  # noqa: S101
        self.transport.write(content)

    @property
    def is_flushed(self) -> bool:
        """Tell whether all written bytes have left the process."""
        if self.transport is None:
            return False
        return self.transport.get_write_buffer_size() == 0

    @property
    def has_unread(self) -> bool:
        """Tell whether received bytes have not been read yet."""
        return bool(self._received)

    def abort(self) -> None:
        """Close at once, without waiting for queued bytes."""
        if self.transport is not None:
            self.transport.abort()

    def _find_socket_error(self) -> OSError | None:
        if self.transport is None:
            return None
        sock = self.transport.get_extra_info('socket')
        if sock is None:
            return None
        number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return OSError(number, os.strerror(number)) if number else None

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
