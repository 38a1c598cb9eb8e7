"""Sending of messages to other hosts."""

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
    """Sends datagrams to hosts.

    :param endpoint: the open UDP port; None before the service starts, when
        messages are dropped.
    """

    fleet: FleetView
    endpoint: DatagramEndpoint | None = None

    def send(self, message: Message, records: Iterable[HostRecord]) -> None:
        """Send a message to hosts; delivery is not guaranteed."""
        if self.endpoint is None:
            return
        content = encode(message)
        for record in records:
            self.endpoint.send(content, record.ip, record.internal_port)

    def send_to(self, message: Message, host: str) -> None:
        """Send a message to a host by name; delivery is not guaranteed."""
        peer = self.fleet.peers.get(host)
        if peer is not None:
            self.send(message, (peer.record,))
