"""The caller's side of an answer."""

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

_KEPT_BYTES = 4096
_REPLAYED_HEADER = 'Idempotency-Replayed'


class Reply:
    """Streams one answer to the caller, and keeps a small body."""

    def __init__(
        self,
        request: web.Request,
        request_id: str,
        in_flight: InFlight,
    ) -> None:
        """Prepare; nothing reaches the caller yet."""
        self._request = request
        self._in_flight = in_flight
        self._request_id = request_id
        self._kept: bytearray | None = bytearray()
        self.response: web.StreamResponse | None = None

    async def relay(self, answer: ClientResponse) -> None:
        """Stream an answer with back-pressure.

        The caller's connection is broken where the answer does not reach
        it whole, so that it cannot take a part for the whole.
        """
        headers = prepare_answer_headers(answer.headers)
        headers[REQUEST_ID_HEADER] = self._request_id
        self.response = web.StreamResponse(
            status=answer.status,
            reason=answer.reason,
            headers=headers,
        )
        is_whole = False
        try:
            await self._stream(answer, self.response)
            is_whole = True
        finally:
            if not is_whole:
                self.break_off()

    def break_off(self) -> None:
        """Break the caller's connection."""
        self._kept = None
        if self._request.transport is not None:
            self._request.transport.abort()

    def record(self) -> RecordedAnswer | None:
        """Return the relayed answer for the claim, None without one."""
        if self.response is None:
            return None
        kept = None if self._kept is None else bytes(self._kept)
        content_type = self.response.headers.get('Content-Type', '')
        return RecordedAnswer(self.response.status, content_type, kept)

    async def _stream(
        self,
        answer: ClientResponse,
        response: web.StreamResponse,
    ) -> None:
        if self._in_flight.is_leaving:
            response.force_close()
        await response.prepare(self._request)
        async for chunk in answer.content.iter_any():
            self._keep(chunk)
            await response.write(chunk)
        await response.write_eof()

    def _keep(self, chunk: bytes) -> None:
        if self._kept is None:
            return
        self._kept += chunk
        if len(self._kept) > _KEPT_BYTES:
            self._kept = None


def respond_failure(failure: Failure, request_id: str) -> web.Response:
    """Return the problem document of a failed request."""
    headers = {REQUEST_ID_HEADER: request_id}
    if isinstance(failure, NotRun | UnknownOutcome):
        pause = failure.retry_after_s
        if pause is not None:
            headers['Retry-After'] = str(max(1, round(pause)))
    problem = describe_failure(failure, request_id)
    return json_response(problem, problem.status, headers)


def respond_recorded(
    answer: RecordedAnswer,
    request_id: str,
) -> web.Response:
    """Return the recorded answer to a repeat of a claimed request."""
    headers = {REQUEST_ID_HEADER: request_id, _REPLAYED_HEADER: 'true'}
    if answer.content_type:
        headers['Content-Type'] = answer.content_type
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers=headers,
    )
