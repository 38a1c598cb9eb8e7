"""One whole session on loopback, all roles in one process."""

from crocusshunt.demo._fleet import Fleet, FleetSettings
from crocusshunt.demo._offer import FleetDocument, SampleRequest, describe_fleet
from crocusshunt.demo._service import await_service
from crocusshunt.demo._session import Step, run_session

__all__ = (
    'Fleet',
    'FleetDocument',
    'FleetSettings',
    'SampleRequest',
    'Step',
    'await_service',
    'describe_fleet',
    'run_session',
)
