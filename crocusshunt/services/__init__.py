"""How every program runs its services on an event loop."""

from crocusshunt.services._http import HttpService, json_response
from crocusshunt.services._running import create_loop, run_services
from crocusshunt.services._tasks import TaskGroup

__all__ = (
    'HttpService',
    'TaskGroup',
    'create_loop',
    'json_response',
    'run_services',
)
