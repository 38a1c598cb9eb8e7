"""Reading of request bodies into memory, within bounds."""

from aiohttp import web
from result import Err, Ok, Result

from crocusshunt.catalog import CatalogIndex, RequestLimits
from crocusshunt.front._in_flight import InFlight
from crocusshunt.front._outcomes import Refusal, Status, refuse_unavailable

_MAX_BUFFERED_BYTES = 67_108_864
_BUFFERS_FULL_RETRY_S = 1
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


def get_request_limits(index: CatalogIndex | None) -> RequestLimits:
    """Return the limits on callers' requests.

    :param index: the current configuration, None before the first one.
    """
    return RequestLimits() if index is None else index.catalog.limits


async def read_body(
    request: web.BaseRequest, in_flight: InFlight, max_bytes: int
) -> Result[bytes | None, Refusal]:
    """Return the whole body, None for a request without one.

    Its size counts in ``in_flight`` until the caller of this function takes it
    off again.

    :param max_bytes: a longer body is refused.
    """
    if not request.body_exists:
        return Ok(None)
    if request.headers.get('Expect') and request.transport is not None:
        request.transport.write(_CONTINUE)
    body = bytearray()
    try:
        async for chunk in request.content.iter_any():
            body += chunk
            in_flight.buffered_bytes += len(chunk)
            refusal = _check_size(len(body), max_bytes, in_flight)
            if refusal is not None:
                in_flight.buffered_bytes -= len(body)
                return Err(refusal)
    except web.RequestPayloadError:
        in_flight.buffered_bytes -= len(body)
        return Err(Refusal(Status.bad_request, 'malformed-body'))
    except BaseException:
        in_flight.buffered_bytes -= len(body)
        raise
    return Ok(bytes(body))


def _check_size(
    size: int, max_bytes: int, in_flight: InFlight
) -> Refusal | None:
    if size > max_bytes:
        return Refusal(Status.too_large, 'body-too-large')
    if in_flight.buffered_bytes > _MAX_BUFFERED_BYTES:
        return refuse_unavailable('buffers-full', _BUFFERS_FULL_RETRY_S)
    return None
