"""Request bodies: small ones are buffered, large ones streamed once."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from aiohttp import web
from result import Err, Ok, Result

from crocusshunt.delivery import NotRun
from crocusshunt.gateway._inspection import is_continue_expected

_MAX_BUFFERED_BYTES = 65_536
_MAX_CLAIMED_BYTES = 4_194_304
_STATUS_BAD_REQUEST = 400
_STATUS_TOO_LARGE = 413
_CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclass(slots=True)
class Body:
    """A request's body.

    :param buffered: the whole body, None if it is streamed.
    :param is_started: whether reading of a streamed body began; it cannot
        be sent again then.
    """

    request: web.Request
    buffered: bytes | None = None
    is_started: bool = field(default=False, init=False)
    _hash: Any = field(default_factory=blake2b, init=False)

    @property
    def is_resendable(self) -> bool:
        """Tell whether another attempt can send the whole body."""
        return self.buffered is not None or not self.is_started

    def open(self) -> AsyncIterator[bytes] | bytes | None:
        """Return the body for one attempt, None if it is empty."""
        if self.buffered is None:
            return self._stream()
        return self.buffered or None

    def compute_digest(self) -> bytes:
        """Return the digest of the body, or of the part streamed so far."""
        if self.buffered is not None:
            return blake2b(self.buffered).digest()
        streamed_digest: bytes = self._hash.digest()
        return streamed_digest

    async def _stream(self) -> AsyncIterator[bytes]:
        self.is_started = True
        await _send_continue(self.request)
        async for chunk in self.request.content.iter_any():
            self._hash.update(chunk)
            yield chunk


async def read_body(
    request: web.Request,
    *,
    is_digest_needed: bool,
) -> Result[Body, NotRun]:
    """Buffer a body if it is small or its digest is needed.

    Other bodies are left to be streamed. A body that must be buffered and
    is larger than 4 MiB is refused.

    :param is_digest_needed: whether the body's digest is needed before
        dispatch, for an idempotency key or a quarantine check.
    """
    if not request.can_read_body:
        return Ok(Body(request, b''))
    length = request.content_length
    is_small = length is not None and length <= _MAX_BUFFERED_BYTES
    if not is_small and not is_digest_needed:
        return Ok(Body(request))
    if length is not None and length > _MAX_CLAIMED_BYTES:
        return Err(_refuse_too_large())
    await _send_continue(request)
    return await _buffer_body(request)


async def _buffer_body(request: web.Request) -> Result[Body, NotRun]:
    buffered = bytearray()
    try:
        async for chunk in request.content.iter_any():
            buffered += chunk
            if len(buffered) > _MAX_CLAIMED_BYTES:
                return Err(_refuse_too_large())
    except web.RequestPayloadError:
        return Err(
            NotRun(
                'body-broken',
                _STATUS_BAD_REQUEST,
                'the body ended before its announced end',
            ),
        )
    return Ok(Body(request, bytes(buffered)))


async def _send_continue(request: web.Request) -> None:
    if is_continue_expected(request):
        await request.writer.write(_CONTINUE_RESPONSE)
        request.writer.output_size = 0


def _refuse_too_large() -> NotRun:
    return NotRun(
        'body-too-large',
        _STATUS_TOO_LARGE,
        f'with an idempotency key a body has {_MAX_CLAIMED_BYTES} bytes '
        'at most',
    )
