"""What keeps a host from being ready."""

import enum
from dataclasses import dataclass


class Condition(enum.Enum):
    """A condition of readiness that does not hold."""

    stopping = 'stopping'
    port = 'port-not-open'
    configuration = 'configuration-missing'
    table = 'table-not-read'
    listing = 'host-not-listed'
    crash_records = 'crash-records-not-read'
    task = 'task-failing'


@dataclass(frozen=True, slots=True)
class Obstacle:
    """A condition that does not hold, for one port, table or task.

    :param subject: the port, table or task, empty if there is only one.
    :param cause: the last error that it follows from, empty without one.

    >>> Obstacle(Condition.table, 'hosts', 'status 503').key
    ('table-not-read', 'hosts')
    """

    condition: Condition
    subject: str = ''
    cause: str = ''

    @property
    def key(self) -> tuple[str, str]:
        """Return what identifies it while its cause changes."""
        return (self.condition.value, self.subject)
