"""Base classes of the errors that the system reports."""

from dataclasses import dataclass
from typing import ClassVar


class CrocusError(Exception):
    """Base class of errors, either returned in a ``Result`` or raised.

    Subclasses are data classes; ``code`` is the machine-readable name of the
    error.
    """

    code: ClassVar[str] = 'error'

    def __str__(self) -> str:
        """Return the one-line description for logs and operators."""
        return self.describe()

    def describe(self) -> str:
        """Return the error code and the fields, as one line."""
        fields = getattr(self, '__dataclass_fields__', {})
        field_list = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in fields
        )
        return f'{self.code}: {field_list}'


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One validation error in an operator's input.

    :param place: where the error is: table and row, or file, section and key.
    :param problem: what is wrong there.
    :param allowed: description of the accepted values; may be empty.

    >>> print(Fault('route verify', 'names no pool', 'the name of a pool'))
    route verify: names no pool (allowed: the name of a pool)
    """

    place: str
    problem: str
    allowed: str = ''

    def __str__(self) -> str:
        """Return the fault as one line for operators."""
        hint = f' (allowed: {self.allowed})' if self.allowed else ''
        return f'{self.place}: {self.problem}{hint}'


@dataclass(unsafe_hash=True)
class InvalidAddressError(CrocusError):
    """The text is not a valid IP address or network."""

    code = 'invalid-address'

    text: str
