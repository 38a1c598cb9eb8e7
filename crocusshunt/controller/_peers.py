"""Messages to the controllers of other hosts, addressed by host name."""

from typing import Protocol, TypeVar

from result import Err, Result

from crocusshunt.membership import HostTable
from crocusshunt.messages import (
    Body,
    PeerTimeoutError,
    RequesterPool,
    TransportError,
)

_BodyType = TypeVar('_BodyType', bound=Body)


class Peers(Protocol):
    """The other controllers that a controller can send messages to."""

    def find_domains(self) -> dict[str, str]:
        """Return the failure domain of each live host."""

    async def ask(
        self,
        host: str,
        body: Body,
        expected: type[_BodyType],
        timeout_s: float,
    ) -> Result[_BodyType, TransportError]:
        """Send a message to the controller of a host."""


class HostPeers:
    """Finds the controllers of other hosts in the table of hosts."""

    def __init__(self, hosts: HostTable, requesters: RequesterPool) -> None:
        """Use the shared table of hosts and the shared sockets."""
        self._hosts = hosts
        self._requesters = requesters

    def find_domains(self) -> dict[str, str]:
        """Return the failure domain of each live host."""
        return {
            host.name: host.failure_domain for host in self._hosts.find_live()
        }

    async def ask(
        self,
        host: str,
        body: Body,
        expected: type[_BodyType],
        timeout_s: float,
    ) -> Result[_BodyType, TransportError]:
        """Send a message to the controller of a host."""
        # Leaving hosts are included: they still act as witnesses and hand
        # over their leases.
        for entry in self._hosts.hosts:
            if entry.name == host:
                requester = self._requesters.get(entry.controller)
                return await requester.ask(body, expected, timeout_s)
        return Err(PeerTimeoutError(host))
