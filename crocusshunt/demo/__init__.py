"""Demonstration session on loopback, all services in one process."""

from crocusshunt.demo._description import (
    FleetDocument,
    SampleRequest,
    describe_fleet,
)
from crocusshunt.demo._fleet import Fleet, FleetSettings
from crocusshunt.demo._readiness import wait_until_ready
from crocusshunt.demo._session import Step, run_session

__all__ = (
    'Fleet',
    'FleetDocument',
    'FleetSettings',
    'SampleRequest',
    'Step',
    'describe_fleet',
    'run_session',
    'wait_until_ready',
)
