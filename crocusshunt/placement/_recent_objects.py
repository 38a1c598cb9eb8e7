"""Objects that each backend server has handled recently."""

from collections import OrderedDict
from dataclasses import dataclass, field

# Servers hold a few dozen objects in memory.
_MAX_OBJECTS_PER_SERVER = 24


@dataclass(slots=True)
class RecentObjects:
    """The objects of each server's latest answers to this host.

    A bounded LRU list per server.

    >>> recent = RecentObjects()
    >>> recent.note('s1', '7')
    >>> recent.is_recent('s1', '7'), recent.is_recent('s1', '8')
    (True, False)
    """

    _by_server: dict[str, OrderedDict[str, None]] = field(
        default_factory=dict,
    )

    def note(self, server: str, key: str) -> None:
        """Record that a server answered a request for an object."""
        objects = self._by_server.setdefault(server, OrderedDict())
        objects[key] = None
        objects.move_to_end(key)
        if len(objects) > _MAX_OBJECTS_PER_SERVER:
            objects.popitem(last=False)

    def is_recent(self, server: str, key: str) -> bool:
        """Tell whether a server handled an object recently."""
        return key in self._by_server.get(server, ())

    def forget(self, server: str) -> None:
        """Drop the objects of a server that was removed."""
        self._by_server.pop(server, None)
