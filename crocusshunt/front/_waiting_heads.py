"""Bytes of requests that were read and have not begun."""

from collections import deque
from collections.abc import Collection
from typing import Any

# What a request takes beside its fields, and a field beside its text.
_REQUEST_BYTES = 2048
_FIELD_BYTES = 256
# A field is kept as text and as bytes.
_COPY_COUNT = 2


class WaitingHeads:
    """Measures the waiting requests of one connection, each head once."""

    def __init__(self) -> None:
        """Begin without requests."""
        self._sizes: deque[int] = deque()
        self._last: Any = None

    def measure(self, waiting: Collection[tuple[Any, Any]]) -> int:
        """Return how many bytes the waiting requests take, with their pieces.

        :param waiting: the requests in order, each with its body's pieces.
        """
        added: list[int] = []
        for message, _payload in reversed(tuple(waiting)):
            if message is self._last:
                break
            added.append(measure_head(message))
        self._sizes.extend(reversed(added))
        while len(self._sizes) > len(waiting):
            self._sizes.popleft()
        self._last = tuple(waiting)[-1][0] if waiting else None
        pieces = sum(count_pieces(payload) for _, payload in waiting)
        return sum(self._sizes) + pieces


def count_pieces(payload: Any) -> int:
    """Return how many bytes of a body were received and not read."""
    return int(getattr(payload, '_size', 0))


def measure_head(message: Any) -> int:
    """Return about how many bytes the head of a request takes."""
    fields = getattr(message, 'raw_headers', ())
    texts = sum(len(name) + len(text) for name, text in fields)
    return _REQUEST_BYTES + _COPY_COUNT * texts + _FIELD_BYTES * len(fields)
