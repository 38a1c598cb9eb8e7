"""The table of hosts at a host that starts while the store gives none."""

from dataclasses import dataclass

from crocusshunt.front._followers import Followers
from crocusshunt.logs import log_event

# A store that has answered no call for so long is taken for unavailable.
_MAX_WAIT_S = 1.5


@dataclass(slots=True)
class FirstHosts:
    """Fetches the table of hosts from a host that sends a heartbeat.

    A host that starts knows no other one. But if it was there before, the
    others list it and send it heartbeats. With their table of hosts it fetches
    the other tables as any host does whose store fails.
    """

    followers: Followers
    _is_fetching: bool = False

    @property
    def is_needed(self) -> bool:
        """Tell whether this host knows no table, and gets none."""
        hosts = self.followers.hosts
        if hosts.image.is_known or self._is_fetching:
            return False
        return hosts.is_failing or hosts.age_s >= _MAX_WAIT_S

    async def fetch(self, host: str, address: str) -> None:
        """Fetch the table from the host that sent a heartbeat.

        :param host: its name, which the table has to list.
        :param address: its port for other hosts, ``ip:port``.
        """
        self._is_fetching = True
        try:
            changes = await self.followers.fetch_hosts(host, address)
        finally:
            self._is_fetching = False
        if changes is None:
            return
        if host not in {row.key for row in changes.rows}:
            log_event('table of an unlisted host ignored', host=host)
            return
        self.followers.hosts.apply_peer_image(changes)
        log_event(
            'hosts learned from a peer', host=host, hosts=len(changes.rows)
        )
