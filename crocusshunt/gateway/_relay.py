"""Responses to the caller."""

from aiohttp import ClientResponse, web

from crocusshunt.delivery import (
    REQUEST_ID_HEADER,
    Failure,
    NotRun,
    RecordedAnswer,
    UnknownOutcome,
    describe_failure,
    prepare_answer_headers,
)
from crocusshunt.gateway._draining import InFlight
from crocusshunt.web import json_response

_MAX_RECORDED_BYTES = 4096
_REPLAYED_HEADER = 'Idempotency-Replayed'


class ResponseRelay:
    """Streams a backend server's response to the caller.

    A body of up to 4096 bytes is also kept, so that it can be recorded for
    repeats of a request with an idempotency key.
    """

    def __init__(
        self,
        request: web.Request,
        request_id: str,
        in_flight: InFlight,
    ) -> None:
        """Prepare the relay without sending anything to the caller."""
        self._request = request
        self._in_flight = in_flight
        self._request_id = request_id
        self._buffer: bytearray | None = bytearray()
        self.response: web.StreamResponse | None = None

    async def send(self, answer: ClientResponse) -> None:
        """Stream a response, reading no faster than the caller does.

        If the response cannot be relayed completely, the caller's
        connection is aborted, so that the caller cannot mistake a
        truncated response for a complete one.
        """
        headers = prepare_answer_headers(answer.headers)
        headers[REQUEST_ID_HEADER] = self._request_id
        self.response = web.StreamResponse(
            status=answer.status,
            reason=answer.reason,
            headers=headers,
        )
        is_complete = False
        try:
            await self._stream(answer, self.response)
            is_complete = True
        finally:
            if not is_complete:
                self.abort()

    def abort(self) -> None:
        """Abort the caller's connection and drop the kept body."""
        self._buffer = None
        if self._request.transport is not None:
            self._request.transport.abort()

    def create_record(self) -> RecordedAnswer | None:
        """Return the response to store with the claim, None before one began.

        Its body is None where it was too large to keep or incomplete.
        """
        if self.response is None:
            return None
        body = None if self._buffer is None else bytes(self._buffer)
        content_type = self.response.headers.get('Content-Type', '')
        return RecordedAnswer(self.response.status, content_type, body)

    async def _stream(
        self,
        answer: ClientResponse,
        response: web.StreamResponse,
    ) -> None:
        if self._in_flight.is_leaving:
            response.force_close()
        await response.prepare(self._request)
        async for chunk in answer.content.iter_any():
            self._buffer_chunk(chunk)
            await response.write(chunk)
        await response.write_eof()

    def _buffer_chunk(self, chunk: bytes) -> None:
        if self._buffer is None:
            return
        self._buffer += chunk
        if len(self._buffer) > _MAX_RECORDED_BYTES:
            self._buffer = None


def respond_failure(failure: Failure, request_id: str) -> web.Response:
    """Return a failed request's response, with a problem document.

    Reference: RFC 9457, "Problem Details for HTTP APIs".
    """
    headers = {REQUEST_ID_HEADER: request_id}
    if isinstance(failure, NotRun | UnknownOutcome):
        retry_after_s = failure.retry_after_s
        if retry_after_s is not None:
            headers['Retry-After'] = str(max(1, round(retry_after_s)))
    problem = describe_failure(failure, request_id)
    return json_response(problem, problem.status, headers)


def respond_recorded(
    answer: RecordedAnswer,
    request_id: str,
) -> web.Response:
    """Return the recorded response for a repeat of a claimed request."""
    headers = {REQUEST_ID_HEADER: request_id, _REPLAYED_HEADER: 'true'}
    if answer.content_type:
        headers['Content-Type'] = answer.content_type
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers=headers,
    )
