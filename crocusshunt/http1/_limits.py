"""Limits on what is read of one request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """Limits on the parts of a request but its body.

    :param field_bytes: most bytes of a request's fields, and of its trailers;
        the request line may have as many.
    :param chunk_line_bytes: most bytes of the line before a chunk.
    """

    field_bytes: int = 65_536
    chunk_line_bytes: int = 1024
