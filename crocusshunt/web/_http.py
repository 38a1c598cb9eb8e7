"""HTTP servers as services."""

from typing import Any

import msgspec
from aiohttp import web
from aiomisc import Service

_JSON = 'application/json'
_MAX_HEADER_BYTES = 16_384


class HttpService(Service):
    """Service that serves an aiohttp application on one address.

    :param host: IP address to listen on.
    :param port: port to listen on; with 0 the system chooses a free port, which
        is stored here by ``start``.
    """

    host: str
    port: int

    def __init__(self, host: str, port: int) -> None:
        """Store the address; ``start`` opens the socket."""
        super().__init__()
        self.host = host
        self.port = port
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Return the base URL; valid once the service has started."""
        return f'http://{self.host}:{self.port}'

    def create_application(self) -> web.Application:
        """Return the application to serve."""
        raise NotImplementedError

    async def start(self) -> None:
        """Start the HTTP server."""
        application = self.create_application()
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stop the HTTP server."""
        if self._runner is not None:
            await self._runner.cleanup()


def json_response(
    body: Any,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> web.Response:
    """Return a response with a JSON body.

    :param body: data class, ``msgspec.Struct`` or other encodable value.
    :param status: HTTP status code.
    :param headers: additional response headers.
    """
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        headers=headers,
        content_type=_JSON,
    )
