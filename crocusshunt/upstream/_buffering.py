"""Bounds on the memory that responses of backend servers take."""

from dataclasses import dataclass, field

from crocusshunt.upstream._errors import AnswerBrokenError


@dataclass(slots=True)
class BufferLimit:
    """Bytes that the bodies of all responses under way may take together.

    A server in trouble may send a body without end.

    :param max_answer_bytes: longest body of one response.
    :param max_total_bytes: most bytes of all bodies.
    :param used_bytes: bytes of the bodies under way.
    """

    max_answer_bytes: int = 33_554_432
    max_total_bytes: int = 67_108_864
    used_bytes: int = 0


@dataclass(slots=True)
class BodyBuffer:
    """The body of one response, within a limit.

    >>> limit = BufferLimit(max_answer_bytes=8, max_total_bytes=10)
    >>> with BodyBuffer(limit) as body:
    ...     body.append(b'whole')
    ...     limit.used_bytes, bytes(body.content)
    (5, b'whole')
    >>> limit.used_bytes
    0
    """

    limit: BufferLimit
    content: bytearray = field(default_factory=bytearray)

    def __enter__(self) -> 'BodyBuffer':
        """Begin a body without bytes."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Stop counting the body, whole or not."""
        self.limit.used_bytes -= len(self.content)

    def append(self, received: bytes) -> None:
        """Add bytes to the body.

        :raises AnswerBrokenError: it would be longer than the limit allows.
        """
        limit = self.limit
        if len(self.content) + len(received) > limit.max_answer_bytes:
            raise AnswerBrokenError('response body too long')
        if limit.used_bytes + len(received) > limit.max_total_bytes:
            raise AnswerBrokenError('response bodies take too much memory')
        self.content += received
        limit.used_bytes += len(received)
