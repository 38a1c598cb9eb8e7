"""Event loop, background tasks, and shutdown on signals."""

from crocusshunt.services._deadlines import wait_in_time
from crocusshunt.services._endings import FatalError, run_to_end
from crocusshunt.services._event_loop import create_loop, run_until_signal
from crocusshunt.services._tasks import TaskGroup

__all__ = (
    'FatalError',
    'TaskGroup',
    'create_loop',
    'run_to_end',
    'run_until_signal',
    'wait_in_time',
)
