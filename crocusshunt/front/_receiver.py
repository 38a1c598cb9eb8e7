"""Processing of the messages of other hosts."""

from dataclasses import dataclass, field

from crocusshunt.fleet import (
    Heartbeat,
    StatusMessage,
    StatusPart,
    TokenReply,
    TokenRequest,
    decode_message,
)
from crocusshunt.front._first_hosts import FirstHosts
from crocusshunt.front._former_leases import needs_reply
from crocusshunt.front._heartbeats import HeartbeatLoop


@dataclass(slots=True)
class MessageReceiver:
    """Applies the datagrams that other hosts send.

    :param loop: which replies to hosts that just started.
    """

    loop: HeartbeatLoop
    _first_hosts: FirstHosts = field(init=False)

    def __post_init__(self) -> None:
        """Create the part that depends on another one."""
        self._first_hosts = FirstHosts(self.loop.followers)

    def receive(self, content: bytes, sender: str = '') -> None:
        """Process a datagram from another host.

        :param sender: where it came from, ``ip:port``.
        """
        message = decode_message(content)
        if message is None:
            self.loop.heard.note_ignored(len(content))
        elif isinstance(message, (StatusMessage, StatusPart)):
            self._receive_status(message, sender)
        elif isinstance(message, TokenRequest):
            self.loop.tokens.handle_request(message)
        elif isinstance(message, TokenReply):
            self.loop.tokens.handle_reply(message)
        else:
            self.loop.leases.handle(message)

    def _receive_status(
        self, message: StatusMessage | StatusPart, sender: str
    ) -> None:
        if isinstance(message, StatusPart):
            self._receive_part(message)
        else:
            self._receive_heartbeat(message, sender)

    def _receive_heartbeat(self, message: StatusMessage, sender: str) -> None:
        loop = self.loop
        fleet = loop.cluster.fleet
        is_first = fleet.is_first_heartbeat(message)
        if message.name not in fleet.names:
            self._look_for_record(message, sender)
        loop.heard.note_heartbeat(message)
        peer = fleet.handle_message(message, loop.clock.monotonic())
        if is_first or needs_reply(message):
            loop.reply_to_new_host(message)
        if peer is None:
            return
        # Every host gets the summaries of other regions itself.
        self._apply_news(message, passes_on=isinstance(message, Heartbeat))
        if isinstance(message, Heartbeat):
            self._apply_heartbeat(message, is_first=is_first)
        fetch = loop.followers.fetch_if_behind(
            peer.record,
            message.versions,
            is_near=peer.record.region == fleet.own.region,
        )
        loop.tasks.start(fetch)

    def _look_for_record(self, message: StatusMessage, sender: str) -> None:
        """Read the table of hosts again, in which a sender's record is missing.

        The call that waits for it may have been lost.
        """
        self.loop.followers.hosts.refresh()
        if sender and self._first_hosts.is_needed:
            fetch = self._first_hosts.fetch(message.name, sender)
            self.loop.tasks.start(fetch)

    def _receive_part(self, part: StatusPart) -> None:
        fleet = self.loop.cluster.fleet
        now = self.loop.clock.monotonic()
        peer = fleet.handle_message(part, now)
        if peer is None:
            return
        is_near = peer.record.region == fleet.own.region
        self._apply_news(part, passes_on=is_near)
        if not is_near:
            return
        self.loop.planner.apply_full_servers(part.full, now)

    def _apply_news(
        self, message: StatusMessage | StatusPart, *, passes_on: bool
    ) -> None:
        """Apply what counts by itself, whichever message tells it.

        :param passes_on: see :meth:`CrashWatch.merge`.
        """
        now = self.loop.clock.monotonic()
        cluster = self.loop.cluster
        limited = self.loop.planner.state.limited
        limited.merge(message.limits, now)
        cluster.merge_draining(message.draining, message.name, now)
        self.loop.crashes.merge(message.crashes, now, passes_on=passes_on)

    def _apply_heartbeat(self, message: Heartbeat, *, is_first: bool) -> None:
        """Apply what only hosts of this region tell each other."""
        loop = self.loop
        loop.tokens.note_heartbeat(message, is_first=is_first)
        now = loop.clock.monotonic()
        loop.planner.apply_full_servers(message.full, now)
        loop.planner.adopt(message.divisions)
        loop.former.apply(message)
