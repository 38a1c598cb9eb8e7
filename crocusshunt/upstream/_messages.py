"""Requests to backend servers and their answers."""

from dataclasses import dataclass

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class EchoPolicy:
    """How an answer shows which request it belongs to.

    :param id_header: header that repeats the request's id, in lower case.
    :param exempt_header: an answer with this header needs no id.
    :param exempt_statuses: answers of these statuses need no id.
    """

    id_header: bytes
    exempt_header: bytes = b''
    exempt_statuses: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it goes to a backend server.

    :param target: path and query, as they came.
    :param headers: all headers, with the length of the body.
    :param body: the whole body, None for a request without one.
    """

    request_id: bytes
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """A whole answer of a backend server."""

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    body: bytes

    def find(self, name: bytes) -> bytes | None:
        """Return the first header of a name in lower case, or None."""
        for found, text in self.headers:
            if found == name:
                return text
        return None
