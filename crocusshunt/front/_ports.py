"""Ports of a host, which another process may still hold when it starts."""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import ClassVar, TypeVar

from crocusshunt.core import Clock
from crocusshunt.logs import log_event
from crocusshunt.services import FatalError

# Longer than a planned stop of the process before may take.
MAX_WAIT_S = 10
_RETRY_PAUSE_S = 0.1
_LOG_INTERVAL_S = 2
_DIGITS = 3

_Opened = TypeVar('_Opened')


@dataclass(unsafe_hash=True)
class PortUnavailableError(FatalError):
    """A port that the host can't do without could not be opened."""

    code: ClassVar[str] = 'port-unavailable'
    exit_status: ClassVar[int] = 3

    address: str
    detail: str


@dataclass(slots=True)
class HostPorts:
    """Opens ports, again and again for some time if that fails.

    A port may be held by the process before, which is about to end, or by an
    outgoing connection of another program. Its address may also come late.

    ``failures`` holds the last error of each port that could not be opened
    yet.
    """

    clock: Clock
    failures: dict[str, str] = field(default_factory=dict)

    async def open(
        self,
        address: str,
        open_once: Callable[[], Awaitable[_Opened]],
        wait_s: float = MAX_WAIT_S,
    ) -> _Opened:
        """Open a port, and return what ``open_once`` returns.

        :param address: what is opened, for log and errors.
        :param open_once: opens the port, or raises ``OSError``.
        :param wait_s: time after which it is given up, in seconds.
        :raises PortUnavailableError: if the time is over.
        """
        began_at = self.clock.monotonic()
        log_due_at = began_at
        while True:
            try:
                opened = await open_once()
            except OSError as error:
                self.failures[address] = str(error)
            else:
                self.failures.pop(address, None)
                return opened
            now = self.clock.monotonic()
            if now >= log_due_at:
                log_due_at = now + _LOG_INTERVAL_S
                self._log_failure(address, now - began_at)
            if now - began_at >= wait_s:
                raise PortUnavailableError(address, self.failures[address])
            await asyncio.sleep(_RETRY_PAUSE_S)

    def _log_failure(self, address: str, age_s: float) -> None:
        log_event(
            'port not opened',
            logging.WARNING,
            address=address,
            cause=self.failures[address],
            age_s=round(age_s, _DIGITS),
        )


def bind_listener(host: str, port: int) -> socket.socket:
    """Return a TCP socket that is bound to an address.

    :raises OSError: if the address can't be used now.
    """
    listener = socket.socket(type=socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    return listener
