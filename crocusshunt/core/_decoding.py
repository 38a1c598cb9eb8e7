"""Failures of decoding what another party wrote."""

import msgspec

# Deep nesting exceeds the depth of recursion, and numbers may be out of range.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    ArithmeticError,
    RecursionError,
)
