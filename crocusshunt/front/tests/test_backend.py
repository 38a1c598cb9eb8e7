"""Backend servers of tests, which other processes run beside."""

import asyncio
import socket

import pytest

from crocusshunt.front.tests._backend import Backend


def _take_port(address: str) -> None:
    host, port = address.rsplit(':', 1)
    with socket.socket() as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind((host, int(port)))


async def test_no_other_process_gets_the_port_of_a_crashed_server() -> None:
    """Hosts would send requests there, and get its answers."""
    backend = Backend('s1')
    await backend.start()
    host, port = backend.address.rsplit(':', 1)
    await backend.crash()
    with pytest.raises(OSError, match='in use'):
        _take_port(backend.address)
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(host, int(port))
    await backend.listen_again()
    _reader, writer = await asyncio.open_connection(host, int(port))
    writer.close()
    await backend.stop()
    with pytest.raises(OSError, match='in use'):
        _take_port(backend.address)
    backend.free_port()
    _take_port(backend.address)
