"""Ends of connections as the event loop reports them."""

import errno
import socket
from unittest.mock import Mock

import pytest

from crocusshunt.upstream._wire import Wire


def _connect(error: int) -> Wire:
    sock = Mock()
    sock.getsockopt.return_value = error
    transport = Mock()
    transport.get_extra_info.return_value = sock
    wire = Wire()
    wire.connection_made(transport)
    wire.is_idle = False
    return wire


async def test_end_reported_with_a_socket_error_is_a_reset() -> None:
    wire = _connect(errno.ECONNRESET)
    wire.data_received(b'part')
    wire.eof_received()
    assert await wire.read() == b'part'
    with pytest.raises(ConnectionResetError):
        await wire.read()


async def test_end_without_an_error_is_an_end() -> None:
    wire = _connect(0)
    wire.data_received(b'whole')
    wire.eof_received()
    assert await wire.read() == b'whole'
    assert await wire.read() == b''


def test_bytes_without_a_request_taint_the_connection() -> None:
    wire = _connect(0)
    wire.is_idle = True
    wire.data_received(b'late')
    assert wire.is_tainted


def test_unacknowledged_bytes_end_a_connection() -> None:
    wire = Wire()
    transport = Mock()
    wire.connection_made(transport)
    sock = transport.get_extra_info.return_value
    options = [call.args[1] for call in sock.setsockopt.call_args_list]
    assert socket.TCP_USER_TIMEOUT in options
