"""Inspection of requests: ambiguous or malformed ones are refused."""

from dataclasses import dataclass

from aiohttp import web
from result import Err, Ok, Result

from crocusshunt.core import IPAddress, parse_address
from crocusshunt.delivery import (
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    NormalPath,
    NotRun,
    find_keys,
    normalize_path,
    strip_keys_from_query,
)
from crocusshunt.gateway._admission import AdmissionRequest

_STATUS_BAD_REQUEST = 400
_STATUS_EXPECTATION_FAILED = 417
_MAX_IDEMPOTENCY_CHARACTERS = 255
_CONTINUE = '100-continue'
_MAX_DEADLINE_DIGITS = 9


@dataclass(frozen=True, slots=True)
class InspectedRequest:
    """A request that every HTTP server parses in the same way.

    :param target: path and query for the backend server, without API keys.
    :param idempotency_key: empty if the request has none.
    :param deadline_ms: longest duration that the caller asks for, in
        milliseconds, None if it asks for none.
    """

    admission_request: AdmissionRequest
    target: str
    idempotency_key: str
    deadline_ms: int | None


def inspect_request(request: web.Request) -> Result[InspectedRequest, NotRun]:
    """Return the inspected request, or a refusal if it is ambiguous."""
    client = parse_address(request.remote or '')
    if isinstance(client, Err):
        return Err(_refuse('invalid-client', client.err_value.describe()))
    raw_path, _separator, query = request.raw_path.partition('?')
    path = normalize_path(raw_path)
    if isinstance(path, Err):
        error = path.err_value
        return Err(_refuse(error.code, error.describe()))
    refusal = _check_headers(request)
    if refusal is not None:
        return Err(refusal)
    return Ok(_create_inspected(request, client.ok_value, path.ok_value, query))


def is_continue_expected(request: web.Request) -> bool:
    """Tell whether the caller waits for 100 Continue to send its body."""
    return request.headers.get('Expect', '').lower() == _CONTINUE


def _create_inspected(
    request: web.Request,
    client: IPAddress,
    path: NormalPath,
    query: str,
) -> InspectedRequest:
    query_without_keys = strip_keys_from_query(query)
    return InspectedRequest(
        admission_request=AdmissionRequest(
            host=request.host.partition(':')[0],
            path=path.decoded,
            method=request.method,
            client=client,
            keys=find_keys(request.headers, query),
        ),
        target=f'{path.raw}?{query_without_keys}'
        if query_without_keys
        else path.raw,
        idempotency_key=request.headers.get(IDEMPOTENCY_HEADER, ''),
        deadline_ms=_read_deadline(request),
    )


def _read_deadline(request: web.Request) -> int | None:
    text = request.headers.get(DEADLINE_HEADER, '')
    is_number = text.isascii() and text.isdecimal()
    return (
        int(text) if is_number and len(text) <= _MAX_DEADLINE_DIGITS else None
    )


def _check_headers(request: web.Request) -> NotRun | None:
    headers = request.headers
    if len(headers.getall('Host', ())) != 1:
        return _refuse('ambiguous-host', 'exactly one Host header is needed')
    if len(headers.getall('Content-Length', ())) > 1:
        return _refuse('ambiguous-length', 'Content-Length is repeated')
    if 'Transfer-Encoding' in headers and 'Content-Length' in headers:
        return _refuse(
            'ambiguous-length',
            'two framings of one body',
        )
    keys = headers.getall(IDEMPOTENCY_HEADER, ())
    if any(not _is_idempotency_key(key) for key in keys) or len(keys) > 1:
        return _refuse(
            'invalid-idempotency-key',
            'one key of 1 to 255 visible ASCII characters is needed',
        )
    if 'Expect' in headers and not is_continue_expected(request):
        return NotRun(
            'expectation-unknown',
            _STATUS_EXPECTATION_FAILED,
            'only 100-continue is known',
        )
    return None


def _is_idempotency_key(text: str) -> bool:
    is_sized = 0 < len(text) <= _MAX_IDEMPOTENCY_CHARACTERS
    return is_sized and all('!' <= character <= '~' for character in text)


def _refuse(code: str, detail: str) -> NotRun:
    return NotRun(code, _STATUS_BAD_REQUEST, detail)
