"""Base classes of the failures that the system reports."""

from dataclasses import dataclass
from typing import ClassVar


class CrocusError(Exception):
    """A failure with a type, usable as a returned error and as an exception.

    Subclasses are data classes; ``code`` is the machine-readable name.
    """

    code: ClassVar[str] = 'error'

    def __str__(self) -> str:
        """Return the one-line description for logs and operators."""
        return self.describe()

    def describe(self) -> str:
        """Return one line of English that says what failed."""
        fields = getattr(self, '__dataclass_fields__', {})
        shown = ', '.join(f'{name}={getattr(self, name)!r}' for name in fields)
        return f'{self.code}: {shown}'


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One thing wrong in an operator's input.

    :param place: table and row, or file, section and key.
    :param problem: what is wrong there.
    :param allowed: what would be accepted instead.

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
    """A text that is no IP address or network."""

    code = 'invalid-address'

    text: str
