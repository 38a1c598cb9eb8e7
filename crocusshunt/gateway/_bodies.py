"""Bodies of requests: kept whole while small, else streamed once."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from aiohttp import web
from result import Err, Ok, Result

from crocusshunt.delivery import NotRun
from crocusshunt.gateway._inspection import expects_continue

_KEPT_BYTES = 65_536
_MAX_CLAIMED_BYTES = 4_194_304
_STATUS_BAD_REQUEST = 400
_STATUS_TOO_LARGE = 413
_LEAVE_TO_SEND = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclass(slots=True)
class Body:
    """A request's body.

    :param kept: the whole body, None where it is streamed.
    :param is_started: whether a streamed body was read from; it cannot be
        sent again then.
    """

    request: web.Request
    kept: bytes | None = None
    is_started: bool = field(default=False, init=False)
    _digest: Any = field(default_factory=blake2b, init=False)

    @property
    def is_resendable(self) -> bool:
        """Tell whether another attempt can still send the whole body."""
        return self.kept is not None or not self.is_started

    def open(self) -> AsyncIterator[bytes] | bytes | None:
        """Return the body for one attempt, None where there is none."""
        if self.kept is None:
            return self._stream()
        return self.kept or None

    def digest(self) -> bytes:
        """Return a digest of what is known of the body."""
        if self.kept is not None:
            return blake2b(self.kept).digest()
        known: bytes = self._digest.digest()
        return known

    async def _stream(self) -> AsyncIterator[bytes]:
        self.is_started = True
        await _give_leave(self.request)
        async for chunk in self.request.content.iter_any():
            self._digest.update(chunk)
            yield chunk


async def take_body(
    request: web.Request,
    *,
    is_claimed: bool,
) -> Result[Body, NotRun]:
    """Keep a small or claimed body, leave a large one to be streamed.

    :param is_claimed: whether the body's digest is needed before dispatch.
    """
    if not request.can_read_body:
        return Ok(Body(request, b''))
    length = request.content_length
    is_small = length is not None and length <= _KEPT_BYTES
    if not is_small and not is_claimed:
        return Ok(Body(request))
    if length is not None and length > _MAX_CLAIMED_BYTES:
        return Err(_refuse_size())
    await _give_leave(request)
    return await _read(request)


async def _read(request: web.Request) -> Result[Body, NotRun]:
    kept = bytearray()
    try:
        async for chunk in request.content.iter_any():
            kept += chunk
            if len(kept) > _MAX_CLAIMED_BYTES:
                return Err(_refuse_size())
    except web.RequestPayloadError:
        return Err(
            NotRun(
                'body-broken',
                _STATUS_BAD_REQUEST,
                'the body ended before its announced end',
            ),
        )
    return Ok(Body(request, bytes(kept)))


async def _give_leave(request: web.Request) -> None:
    if expects_continue(request):
        await request.writer.write(_LEAVE_TO_SEND)
        request.writer.output_size = 0


def _refuse_size() -> NotRun:
    return NotRun(
        'body-too-large',
        _STATUS_TOO_LARGE,
        f'with an idempotency key a body has {_MAX_CLAIMED_BYTES} bytes '
        'at most',
    )
