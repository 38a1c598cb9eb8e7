"""Requests to backend servers and their responses."""

from dataclasses import dataclass

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class EchoPolicy:
    """How a response shows which request it belongs to.

    :param id_header: header that echoes the request id, in lower case.
    :param exempt_header: a response with this header needs no id; in lower
        case.
    :param exempt_statuses: responses with these statuses need no id.
    """

    id_header: bytes
    exempt_header: bytes = b''
    exempt_statuses: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it is sent to a backend server.

    :param target: path and query, as received from the caller.
    :param headers: all headers, including Content-Length if there is a body.
    :param body: the complete body, None for a request without one.
    """

    request_id: bytes
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """A complete response of a backend server.

    :param headers: names in lower case, and values.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    body: bytes

    def find(self, name: bytes) -> bytes | None:
        """Return the value of the first header of a name, or None.

        :param name: name in lower case.
        """
        for found, text in self.headers:
            if found == name:
                return text
        return None
