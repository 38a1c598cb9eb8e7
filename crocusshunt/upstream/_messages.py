"""Requests to backend servers and their responses."""

from dataclasses import dataclass

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class EchoPolicy:
    """How a response shows which request it belongs to.

    :param id_header: header that echoes the request id, in lower case.
    A refusal says that the server did not run the request. One without an id
    counts on a new connection only: on another one, it may have been written
    for an earlier request.

    :param refusal_header: present in a refusal; in lower case.
    :param refusal_statuses: statuses of further refusals.
    """

    id_header: bytes
    refusal_header: bytes = b''
    refusal_statuses: frozenset[int] = frozenset()

    def is_refusal(self, response: 'UpstreamAnswer') -> bool:
        """Tell whether a response says that its request did not run."""
        if response.status in self.refusal_statuses:
            return True
        return response.find(self.refusal_header) is not None


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
    body: bytes | bytearray

    def find(self, name: bytes) -> bytes | None:
        """Return the value of the first header of a name, or None.

        :param name: name in lower case.
        """
        for found, text in self.headers:
            if found == name:
                return text
        return None
