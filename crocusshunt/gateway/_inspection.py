"""What a request shows before anything is decided about it."""

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
from crocusshunt.gateway._admission import Ask

_STATUS_BAD_REQUEST = 400
_STATUS_EXPECTATION_FAILED = 417
_MAX_IDEMPOTENCY_CHARACTERS = 255
_CONTINUE = '100-continue'
_MAX_DIGITS = 9


@dataclass(frozen=True, slots=True)
class Inspected:
    """A request that means the same to every server that reads it.

    :param target: path and query for the backend server, without keys.
    :param idempotency_key: empty where the request has none.
    :param deadline_ms: time that the caller grants, in milliseconds, None
        where it says none.
    """

    ask: Ask
    target: str
    idempotency_key: str
    deadline_ms: int | None


def inspect_request(request: web.Request) -> Result[Inspected, NotRun]:
    """Return the facts of a request, or refuse an ambiguous one."""
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
    return Ok(_collect(request, client.ok_value, path.ok_value, query))


def expects_continue(request: web.Request) -> bool:
    """Tell whether the caller waits for leave to send its body."""
    return request.headers.get('Expect', '').lower() == _CONTINUE


def _collect(
    request: web.Request,
    client: IPAddress,
    path: NormalPath,
    query: str,
) -> Inspected:
    kept = strip_keys_from_query(query)
    return Inspected(
        ask=Ask(
            host=request.host.partition(':')[0],
            path=path.decoded,
            method=request.method,
            client=client,
            keys=find_keys(request.headers, query),
        ),
        target=f'{path.raw}?{kept}' if kept else path.raw,
        idempotency_key=request.headers.get(IDEMPOTENCY_HEADER, ''),
        deadline_ms=_read_deadline(request),
    )


def _read_deadline(request: web.Request) -> int | None:
    granted = request.headers.get(DEADLINE_HEADER, '')
    is_number = granted.isascii() and granted.isdecimal()
    return int(granted) if is_number and len(granted) <= _MAX_DIGITS else None


def _check_headers(request: web.Request) -> NotRun | None:
    headers = request.headers
    if len(headers.getall('Host', ())) != 1:
        return _refuse('ambiguous-host', 'exactly one Host header is needed')
    if len(headers.getall('Content-Length', ())) > 1:
        return _refuse('ambiguous-length', 'Content-Length is repeated')
    if 'Transfer-Encoding' in headers and 'Content-Length' in headers:
        return _refuse('ambiguous-length', 'two framings of one body')
    keys = headers.getall(IDEMPOTENCY_HEADER, ())
    if any(not _is_idempotency_key(key) for key in keys) or len(keys) > 1:
        return _refuse(
            'invalid-idempotency-key',
            'one key of 1 to 255 visible ASCII characters is needed',
        )
    if 'Expect' in headers and not expects_continue(request):
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
