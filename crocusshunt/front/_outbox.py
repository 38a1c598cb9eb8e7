"""Messages to other hosts."""

from collections.abc import Iterable
from dataclasses import dataclass

from crocusshunt.fleet import (
    DatagramEndpoint,
    FleetView,
    HostRecord,
    Message,
    encode,
)


@dataclass(slots=True)
class Outbox:
    """Sends datagrams to hosts; nothing goes out before it is opened.

    :param endpoint: the open port, None before the start.
    """

    fleet: FleetView
    endpoint: DatagramEndpoint | None = None

    def send(self, message: Message, records: Iterable[HostRecord]) -> None:
        """Send a message to some hosts; it may be lost."""
        if self.endpoint is None:
            return
        content = encode(message)
        for record in records:
            self.endpoint.send(content, record.ip, record.internal_port)

    def send_to(self, message: Message, host: str) -> None:
        """Send a message to one host by its name; it may be lost."""
        peer = self.fleet.peers.get(host)
        if peer is not None:
            self.send(message, (peer.record,))
