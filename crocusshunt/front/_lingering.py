"""Closing of callers' connections whose last answers are still on their way.

A socket that is closed and receives further bytes is reset by the kernel, and
what the peer has not received is dropped with it. So the sending side is ended
first, and what still comes is read and dropped until the peer has everything.

Reference: RFC 9112, section 9.6.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from typing import Any

# How often the progress of a peer is checked.
_CHECK_INTERVAL_S = 0.05
# A peer that makes no progress for so long is not waited for.
_MAX_STALL_S = 5
_COUNT = struct.Struct('i')


class LingeringTransport:
    """A transport that is closed once the peer has received what was written.

    All else is left to the transport of the connection.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        """Wrap the transport of an open connection."""
        self._transport = transport
        self._is_ended = False
        self._unreceived = 0
        self._progressed_at: float = 0

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the wrapped transport."""
        return getattr(self._transport, name)

    @property
    def is_lingering(self) -> bool:
        """Tell whether the peer has not received all that was written."""
        return self._is_ended and not self._transport.is_closing()

    def count_unconfirmed(self) -> int:
        """Return how many bytes that left the peer has not confirmed."""
        sock = self._transport.get_extra_info('socket')
        return 0 if sock is None else _count_unconfirmed(sock)

    def is_closing(self) -> bool:
        """Tell whether nothing more can be written."""
        return self._is_ended or self._transport.is_closing()

    def close(self) -> None:
        """End the sending side, and close when the peer has everything."""
        if self.is_closing():
            return
        self._unreceived = self._count_unreceived()
        if not self._unreceived:
            self._transport.close()
            return
        self._is_ended = True
        try:
            self._transport.write_eof()
        except OSError:
            # The peer has reset the connection.
            self._transport.abort()
            return
        # What is read now is dropped.
        self._transport.resume_reading()
        loop = asyncio.get_running_loop()
        self._progressed_at = loop.time()
        loop.call_later(_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        if self._transport.is_closing():
            return
        loop = asyncio.get_running_loop()
        unreceived = self._count_unreceived()
        if unreceived < self._unreceived:
            self._progressed_at = loop.time()
        self._unreceived = unreceived
        is_stalled = loop.time() - self._progressed_at > _MAX_STALL_S
        if is_stalled or not unreceived:
            self._transport.close()
        else:
            loop.call_later(_CHECK_INTERVAL_S, self._check)

    def _count_unreceived(self) -> int:
        """Return how many written bytes the peer's kernel has not confirmed."""
        queued = int(self._transport.get_write_buffer_size())
        return queued + self.count_unconfirmed()


def _count_unconfirmed(sock: socket.socket) -> int:
    try:
        answer = fcntl.ioctl(
            sock.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size)
        )
    except OSError:
        return 0
    return int(_COUNT.unpack(answer)[0])
