"""Which objects a backend server has handled lately."""

from collections import OrderedDict
from dataclasses import dataclass, field

# Servers keep a few dozen objects warm.
_KEPT_PER_SERVER = 24


@dataclass(slots=True)
class RecentObjects:
    """The objects last answered by each server, as far as this host saw.

    >>> familiar = RecentObjects()
    >>> familiar.note('s1', '7')
    >>> familiar.is_recent('s1', '7'), familiar.is_recent('s1', '8')
    (True, False)
    """

    _by_server: dict[str, OrderedDict[str, None]] = field(
        default_factory=dict,
    )

    def note(self, server: str, key: str) -> None:
        """Take an answer to a request for an object."""
        kept = self._by_server.setdefault(server, OrderedDict())
        kept[key] = None
        kept.move_to_end(key)
        if len(kept) > _KEPT_PER_SERVER:
            kept.popitem(last=False)

    def is_recent(self, server: str, key: str) -> bool:
        """Tell whether a server handled an object lately."""
        return key in self._by_server.get(server, ())

    def forget(self, server: str) -> None:
        """Drop what is known of a server that is gone."""
        self._by_server.pop(server, None)
