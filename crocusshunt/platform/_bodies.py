"""Bodies of answers of the store, read while parts of them come."""

import asyncio

import aiohttp

from crocusshunt.feeds import CallProgress

# An answer that has begun is lost without any part of it for so long. It is
# late after the second time if it comes slower than so, and after the third
# time in any case.
_PART_TIMEOUT_S = 1
_MIN_ANSWER_S = 2
_MIN_BYTES_PER_S = 16_384
_MAX_ANSWER_S = 10
# No answer comes near this size.
_MAX_ANSWER_BYTES = 67_108_864


async def read_body(
    response: aiohttp.ClientResponse,
    deadline: asyncio.Timeout,
    progress: CallProgress | None,
) -> bytes | None:
    """Return a body, however long it takes while parts of it come.

    Return None for one that is not to be read.

    :param deadline: moved with each part.
    """
    now = asyncio.get_running_loop().time
    latest = now() + _MAX_ANSWER_S
    parts = []
    deadline.reschedule(latest)
    size = response.content_length or 0
    if progress is not None and not await progress.begin(size):
        response.close()
        return None
    slow_at = now() + _MIN_ANSWER_S
    received = 0
    deadline.reschedule(now() + _PART_TIMEOUT_S)
    async for part in response.content.iter_any():
        received += len(part)
        if received > _MAX_ANSWER_BYTES:
            raise aiohttp.ClientError('answer without end')
        late_at = min(latest, slow_at + received / _MIN_BYTES_PER_S)
        deadline.reschedule(min(late_at, now() + _PART_TIMEOUT_S))
        if progress is not None:
            progress.note(len(part))
        parts.append(part)
    return b''.join(parts)


def describe_error(error: Exception, progress: CallProgress | None) -> str:
    """Return the name of an error, and what had come before it."""
    name = type(error).__name__
    if progress is None or not progress.received_bytes:
        return name
    return f'{name} after {progress.received_bytes} bytes'
