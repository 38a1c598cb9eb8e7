"""Tests of the ends of connections that the event loop reports."""

import errno
import socket
from unittest.mock import Mock

import pytest

from crocusshunt.upstream._protocol import StreamProtocol


def _connect(error: int) -> StreamProtocol:
    sock = Mock()
    sock.getsockopt.return_value = error
    transport = Mock()
    transport.get_extra_info.return_value = sock
    protocol = StreamProtocol()
    protocol.connection_made(transport)
    protocol.is_idle = False
    return protocol


async def test_end_reported_with_a_socket_error_is_a_reset() -> None:
    protocol = _connect(errno.ECONNRESET)
    protocol.data_received(b'part')
    protocol.eof_received()
    assert await protocol.read() == b'part'
    with pytest.raises(ConnectionResetError):
        await protocol.read()


async def test_end_without_an_error_is_end_of_file() -> None:
    protocol = _connect(0)
    protocol.data_received(b'whole')
    protocol.eof_received()
    assert await protocol.read() == b'whole'
    assert await protocol.read() == b''


def test_bytes_without_a_request_are_unexpected() -> None:
    protocol = _connect(0)
    protocol.is_idle = True
    protocol.data_received(b'late')
    assert protocol.has_unexpected_bytes


def test_connection_sets_timeout_for_unacknowledged_bytes() -> None:
    protocol = StreamProtocol()
    transport = Mock()
    protocol.connection_made(transport)
    sock = transport.get_extra_info.return_value
    options = [call.args[1] for call in sock.setsockopt.call_args_list]
    assert socket.TCP_USER_TIMEOUT in options
