"""The request path of a host.

A host answers lookups of callers, admits their requests, chooses a backend
server for each, and forwards it there.
"""

from crocusshunt.front._errors import MalformedSourceError
from crocusshunt.front._service import FrontService
from crocusshunt.front._settings import (
    DeploymentLimits,
    FrontSettings,
    HeaderNames,
    SourceFormat,
    TableNames,
)

__all__ = (
    'DeploymentLimits',
    'FrontService',
    'FrontSettings',
    'HeaderNames',
    'MalformedSourceError',
    'SourceFormat',
    'TableNames',
)
