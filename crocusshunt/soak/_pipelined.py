"""Callers that send several requests before the first response."""

import asyncio
from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass

_HEAD_END = b'\r\n\r\n'


@dataclass(frozen=True, slots=True)
class RawResponse:
    """One response of a connection.

    :param headers: by name in lower case.
    """

    status: int
    headers: Mapping[str, str]
    text: str

    @property
    def closes(self) -> bool:
        """Tell whether the host closes the connection after it."""
        return self.headers.get('connection', '').lower() == 'close'


def encode_get(path: str, headers: Mapping[str, str]) -> bytes:
    r"""Return a GET request without a body.

    >>> encode_get('/read/x', {'Host': 'a.example'})
    b'GET /read/x HTTP/1.1\r\nHost: a.example\r\n\r\n'
    """
    lines = [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join((f'GET {path} HTTP/1.1', *lines, '', '')).encode()


async def exchange_pipelined(
    address: str, requests: Sequence[bytes]
) -> AsyncIterator[RawResponse]:
    """Send all requests at once; yield the responses as they come.

    These are fewer than the requests if the connection ends before.

    :param address: ``ip:port`` of the host.
    :raises OSError: the connection could not be opened.
    """
    host, _separator, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.writelines(requests)
        for _ in requests:
            response = await _read_response(reader)
            yield response
            if response.closes:
                return
    except (asyncio.IncompleteReadError, ConnectionError):
        return
    finally:
        writer.close()


async def _read_response(reader: asyncio.StreamReader) -> RawResponse:
    head = await reader.readuntil(_HEAD_END)
    status_line, *lines = head.decode('latin-1').rstrip().split('\r\n')
    headers: dict[str, str] = {}
    for line in lines:
        name, _separator, text = line.partition(':')
        headers[name.lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return RawResponse(int(status_line.split(' ')[1]), headers, body.decode())
