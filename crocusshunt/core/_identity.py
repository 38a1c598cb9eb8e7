"""Identity of a host, and random identifiers."""

import random
from dataclasses import dataclass, field

_ID_BITS = 64
_ID_DIGITS = 16


@dataclass(frozen=True, slots=True, order=True)
class HostIdentity:
    """Host that a process runs on, from the settings of the process.

    :param name: name of the host, unique in the deployment.
    :param region: region of the host.
    :param failure_domain: failure domain of the host within its region.
    """

    name: str
    region: str
    failure_domain: str


@dataclass(slots=True)
class IdentifierGenerator:
    """Generator of random identifiers.

    :param source: random number generator; tests pass one with a seed.

    >>> IdentifierGenerator(random.Random(7)).create('req')
    'req-f2a74de452e6b438'
    """

    source: random.Random = field(default_factory=random.SystemRandom)

    def create(self, prefix: str) -> str:
        """Return a new identifier: the prefix and 64 random bits in hex.

        :param prefix: kind of what is identified, such as ``req``.
        """
        number = self.source.getrandbits(_ID_BITS)
        return f'{prefix}-{number:0{_ID_DIGITS}x}'
