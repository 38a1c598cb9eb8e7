"""The request path of a host: look-ups, admission, placement, sending."""

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
