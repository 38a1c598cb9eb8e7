"""Receiving of bytes in pieces of a bounded size."""

import asyncio

# The event loop's own pieces are four times as long: too much where many
# connections wait.
_RECEIVE_BYTES = 65_536
# Received bytes are copied from it at once, so all connections use it.
_RECEIVING = bytearray(_RECEIVE_BYTES)


class ReceivingProtocol(asyncio.BufferedProtocol):
    """A protocol that takes received bytes in short pieces."""

    def get_buffer(self, _size_hint: int) -> bytearray:
        """Return where received bytes are written."""
        return _RECEIVING

    def buffer_updated(self, count: int) -> None:
        """Take the bytes that were received."""
        self.data_received(bytes(memoryview(_RECEIVING)[:count]))

    def data_received(self, received: bytes) -> None:
        """Take a piece."""
        raise NotImplementedError
