"""Tests of the codec with damaged input, and of the sockets."""

import asyncio

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from crocusshunt.messages import (
    PROTOCOL_VERSION,
    BorrowTokens,
    Codec,
    FetchHosts,
    Handlers,
    HostList,
    PeerRefusalError,
    PeerTimeoutError,
    Refusal,
    Replier,
    Requester,
)


def test_message_round_trip() -> None:
    codec = Codec()
    body = BorrowTokens('loan-1', 'court', 4)
    assert codec.decode(codec.encode(body)) == Ok(body)


@pytest.mark.parametrize(
    ('envelope', 'code'),
    [
        ((PROTOCOL_VERSION + 1, 'fetch-hosts', {}), 'message-version'),
        ((PROTOCOL_VERSION, 'no-such-kind', {}), 'message-kind'),
        ((PROTOCOL_VERSION, 'borrow-tokens', {}), 'message-damaged'),
        ((PROTOCOL_VERSION, 'fetch-hosts'), 'message-damaged'),
    ],
)
def test_refused_messages_are_counted(
    envelope: tuple[object, ...],
    code: str,
) -> None:
    codec = Codec()
    refused = codec.decode(msgspec.msgpack.encode(envelope))
    assert refused.unwrap_err().code == code
    assert codec.refused == {code: 1}


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=200))
def test_random_bytes_are_refused(message: bytes) -> None:
    assert Codec().decode(message).is_err()


@settings(derandomize=True, max_examples=300)
@given(st.integers(min_value=0), st.integers(min_value=1, max_value=255))
def test_damaged_message_never_raises(position: int, flip: int) -> None:
    codec = Codec()
    message = bytearray(codec.encode(BorrowTokens('loan-1', 'court', 4)))
    message[position % len(message)] ^= flip
    decoded = codec.decode(bytes(message))
    assert decoded.is_ok() or codec.refused.total() == 1


async def test_handler_exception_does_not_stop_the_replier() -> None:
    handlers = Handlers()

    @handlers.register(FetchHosts)
    async def fail(request: FetchHosts) -> HostList:
        raise RuntimeError('broken')

    @handlers.register(BorrowTokens)
    async def refuse(request: BorrowTokens) -> Refusal:
        return Refusal('rate-exceeded')

    replier = Replier('tcp://127.0.0.1:0', handlers)
    await replier.start()
    requester = Requester(replier.address)
    for _ in range(100):
        failed = await requester.exchange(FetchHosts(), 5)
        assert failed.unwrap_err() == PeerRefusalError('handler-failed')
    alive = await requester.exchange(BorrowTokens('l', 'c', 1), 5)
    assert alive.unwrap_err() == PeerRefusalError('rate-exceeded')
    requester.close()
    await replier.stop()


async def test_request_to_absent_peer_times_out() -> None:
    requester = Requester('tcp://127.0.0.1:9')
    absent = await requester.exchange(FetchHosts(), 0.05)
    assert isinstance(absent.unwrap_err(), PeerTimeoutError)
    requester.close()


async def test_slow_request_does_not_block_others() -> None:
    handlers = Handlers()
    released = asyncio.Event()

    @handlers.register(FetchHosts)
    async def wait(request: FetchHosts) -> HostList:
        await released.wait()
        return HostList(())

    @handlers.register(BorrowTokens)
    async def refuse(request: BorrowTokens) -> Refusal:
        return Refusal('rate-exceeded')

    replier = Replier('tcp://127.0.0.1:0', handlers)
    await replier.start()
    requester = Requester(replier.address)
    waiting = asyncio.create_task(requester.exchange(FetchHosts(), 30))
    quick = await requester.exchange(BorrowTokens('l', 'c', 1), 30)
    assert quick.is_err()
    assert not waiting.done()
    released.set()
    assert (await waiting).is_ok()
    requester.close()
    await replier.stop()
