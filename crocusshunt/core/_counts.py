"""Parsing of counts that another party wrote."""

# More digits than any count has that is sent between processes.
_MAX_DIGIT_COUNT = 9


def parse_count(text: str) -> int | None:
    """Return a count of at most nine decimal digits, None for other text.

    >>> parse_count('12'), parse_count('-1'), parse_count('9' * 10)
    (12, None, None)
    """
    is_count = text.isascii() and text.isdecimal()
    return int(text) if is_count and len(text) <= _MAX_DIGIT_COUNT else None
