"""HTTP servers as services."""

from typing import Any

import msgspec
from aiohttp import web
from aiomisc import Service

_JSON = 'application/json'
_MAX_HEADER_BYTES = 16_384


class HttpService(Service):
    """An aiohttp application on one address.

    :param host: IP address to listen on.
    :param port: port to listen on, 0 for any free one.
    """

    host: str
    port: int

    def __init__(self, host: str, port: int) -> None:
        """Prepare to listen."""
        super().__init__()
        self.host = host
        self.port = port
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Return the base URL once the service has started."""
        return f'http://{self.host}:{self.port}'

    def create_application(self) -> web.Application:
        """Return the application that is served."""
        raise NotImplementedError

    async def start(self) -> None:
        """Listen."""
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
        """Close the server."""
        if self._runner is not None:
            await self._runner.cleanup()


def json_response(
    body: Any,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> web.Response:
    """Return a JSON response of any structure or data class."""
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        headers=headers,
        content_type=_JSON,
    )
