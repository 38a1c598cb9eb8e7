"""The event loop, its background tasks, and the end by signals."""

from crocusshunt.services._running import create_loop, run_until_signal
from crocusshunt.services._tasks import TaskGroup

__all__ = ('TaskGroup', 'create_loop', 'run_until_signal')
