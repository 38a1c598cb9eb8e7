"""Sending of messages to other hosts."""

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from crocusshunt.fleet import (
    MAX_DATAGRAM_BYTES,
    DatagramEndpoint,
    FleetView,
    Heartbeat,
    HostRecord,
    Message,
    RegionSummary,
    encode,
    split_status,
)
from crocusshunt.logs import log_event


@dataclass(slots=True)
class SentMessages:
    """Datagrams sent, by the kind of their message.

    >>> sent = SentMessages()
    >>> sent.note('TokenReply', 90, 3)
    >>> sent.datagrams, sent.largest_bytes, sent.oversized
    (Counter({'TokenReply': 3}), {'TokenReply': 90}, Counter())
    """

    datagrams: Counter[str] = field(default_factory=Counter)
    oversized: Counter[str] = field(default_factory=Counter)
    largest_bytes: dict[str, int] = field(default_factory=dict)

    def note(self, kind: str, size: int, count: int) -> None:
        """Record a message that was sent to some hosts.

        :param size: in bytes.
        :param count: number of datagrams.
        """
        self.datagrams[kind] += count
        if size > MAX_DATAGRAM_BYTES:
            self.oversized[kind] += count
        largest = self.largest_bytes.get(kind, 0)
        if size <= largest:
            return
        self.largest_bytes[kind] = size
        if size > MAX_DATAGRAM_BYTES:
            log_event(
                'message over the bound',
                logging.WARNING,
                kind=kind,
                size=size,
            )


@dataclass(slots=True)
class Outbox:
    """Sends datagrams to hosts.

    :param endpoint: the open UDP port; None before the service starts, when
        messages are dropped.
    """

    fleet: FleetView
    endpoint: DatagramEndpoint | None = None
    sent: SentMessages = field(default_factory=SentMessages)

    def send(self, message: Message, records: Iterable[HostRecord]) -> None:
        """Send a message to hosts; delivery is not guaranteed."""
        if self.endpoint is None:
            return
        addresses = [(one.ip, one.internal_port) for one in records]
        for part in _split(message):
            content = encode(part)
            for ip, port in addresses:
                self.endpoint.send(content, ip, port)
            kind = type(part).__name__
            self.sent.note(kind, len(content), len(addresses))

    def send_to(self, message: Message, host: str) -> None:
        """Send a message to a host by name; delivery is not guaranteed."""
        peer = self.fleet.peers.get(host)
        if peer is not None:
            self.send(message, (peer.record,))


def _split(message: Message) -> Iterable[Message]:
    """Return the messages of one datagram each that tell a message."""
    if isinstance(message, (Heartbeat, RegionSummary)):
        return split_status(message)
    return (message,)
