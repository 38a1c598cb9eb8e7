"""Tokens for a host whose event loop is blocked while a reply comes."""

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from crocusshunt.fleet import (
    Message,
    TokenReply,
    TokenRequest,
    decode_message,
    encode,
)
from crocusshunt.front._tokens import TokenService
from crocusshunt.front.tests.test_tokens import (
    _BURST,
    _RULE,
    _connect,
    _Network,
)
from crocusshunt.services import create_loop

_LOOPBACK = '127.0.0.1'
# Longer than a host waits for a reply, shorter than two such waits.
_STALL_S = 0.045

LoopFactory = Callable[[], asyncio.AbstractEventLoop]


class _Receiver(asyncio.DatagramProtocol):
    """Passes replies to a host as its socket does."""

    def __init__(self, service: TokenService) -> None:
        self._service = service

    def datagram_received(self, content: bytes, _address: object) -> None:
        reply = decode_message(content)
        assert isinstance(reply, TokenReply)
        self._service.handle_reply(reply)


@dataclass(slots=True)
class _StalledHost:
    """A host that is blocked as soon as it has asked the keeper.

    The keeper replies meanwhile: the reply waits in the host's socket.

    :param stalls: requests after which the host is still blocked.
    """

    network: _Network
    name: str
    stalls: int

    async def __aenter__(self) -> TokenService:
        loop = asyncio.get_running_loop()
        service = self.network.services[self.name]
        transport, _protocol = await loop.create_datagram_endpoint(
            lambda: _Receiver(service), local_addr=(_LOOPBACK, 0)
        )
        address = transport.get_extra_info('sockname')
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

        def deliver(message: Message, host: str) -> None:
            if isinstance(message, TokenReply):
                sender.sendto(encode(message), address)
            elif isinstance(message, TokenRequest) and self.stalls:
                self.stalls -= 1
                loop.call_soon(block, message, host)
            else:
                self.network.deliver(message, host)

        def block(message: Message, host: str) -> None:
            # The keeper replies at once, to a host that reads nothing now.
            self.network.deliver(message, host)
            time.sleep(_STALL_S)

        service.send = deliver
        self.network.services[self.network.keeper].send = deliver
        return service

    async def __aexit__(self, *_error: object) -> None:
        """Leave the sockets to the end of the loop."""


def _prepare() -> tuple[_Network, str]:
    network = _connect()
    network.clock.advance(1)
    return network, network.others[0]


@pytest.mark.parametrize('new_loop', [asyncio.new_event_loop, create_loop])
def test_reply_that_came_during_a_stall_is_taken(
    new_loop: LoopFactory,
) -> None:
    """The customer has as many tokens as it sends requests."""

    async def run() -> list[bool]:
        network, name = _prepare()
        async with _StalledHost(network, name, stalls=1) as service:
            grants = [await service.take(_RULE, 0) for _turn in range(_BURST)]
        return [one.is_granted for one in grants]

    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert all(runner.run(run()))


@pytest.mark.parametrize('new_loop', [asyncio.new_event_loop, create_loop])
def test_keeper_whose_replies_came_during_stalls_is_not_silent(
    new_loop: LoopFactory,
) -> None:
    """All that the customer sends next would be refused, too."""

    async def run() -> list[bool]:
        network, name = _prepare()
        async with _StalledHost(network, name, stalls=2) as service:
            grants = [await service.take(_RULE, 0) for _turn in range(2)]
        return [one.is_granted for one in grants]

    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert all(runner.run(run()))
