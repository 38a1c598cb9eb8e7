"""HTTP responses to callers."""

from aiohttp import web

from crocusshunt.front._headers import select_response_headers
from crocusshunt.front._outcomes import Refusal
from crocusshunt.front._sending import AnswerResponse
from crocusshunt.upstream import UpstreamAnswer


def create_response(upstream_response: UpstreamAnswer) -> web.Response:
    """Return a backend server's response as the caller gets it."""
    return AnswerResponse(
        status=upstream_response.status,
        reason=upstream_response.reason.decode('latin-1') or None,
        headers=select_response_headers(upstream_response.headers),
        body=upstream_response.body,
    )


def create_refusal_response(refusal: Refusal) -> web.Response:
    """Return the response to a request that this system refuses."""
    response = web.Response(status=refusal.status, text=refusal.cause)
    if refusal.retry_after is not None:
        response.headers['Retry-After'] = refusal.retry_after
    return response
