"""Log lines whose reader is slow or gone, and more lines than the limit."""

import json
import os
import socket

import pytest

from crocusshunt.core import ManualClock
from crocusshunt.logs import LineSink

_PADDING = 'x' * 500
_LINE = f'{{"event": "{_PADDING}"}}\n'


@pytest.fixture
def pipe() -> tuple[int, int]:
    return os.pipe()


def test_full_pipe_drops_lines_and_never_blocks(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    clock = ManualClock()
    sink = LineSink(writer, clock.monotonic)
    for _ in range(600):
        sink.write(_LINE)
    assert sink.dropped > 0
    taken = os.read(reader, 1 << 20)
    sink.write(_LINE)
    lines = (taken + os.read(reader, 1 << 20)).decode().splitlines()
    events = [json.loads(line) for line in lines]
    notices = [
        event for event in events if event['event'] == 'log lines dropped'
    ]
    assert [event['lines'] for event in notices] == [sink.dropped]


def test_rate_of_lines_is_limited(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    clock = ManualClock()
    sink = LineSink(writer, clock.monotonic)
    for _ in range(900):
        sink.write('{}\n')
    assert sink.dropped == 100
    clock.advance(1)
    sink.write('{}\n')
    assert b'"lines":100' in os.read(reader, 1 << 20)


def test_closed_reader_is_no_error(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    os.close(reader)
    sink = LineSink(writer, ManualClock().monotonic)
    sink.write('{}\n')
    assert sink.dropped == 1


def test_log_handlers_may_close_the_sink(pipe: tuple[int, int]) -> None:
    """Without it, every program ended with a traceback in its log."""
    sink = LineSink(pipe[1])
    sink.close()
    assert sink.write('line') == len('line')


def test_unread_socket_drops_lines_and_never_blocks() -> None:
    """A service manager may connect the standard output to a socket."""
    reader, writer = socket.socketpair()
    with reader, writer:
        sink = LineSink(writer.fileno(), ManualClock().monotonic)
        # Otherwise the test would wait for ever.
        assert not os.get_blocking(writer.fileno())
        for _ in range(800):
            sink.write(_LINE)
    assert sink.dropped > 0
