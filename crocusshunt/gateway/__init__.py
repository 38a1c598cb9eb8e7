"""HTTP gateway that admits callers' requests and forwards them."""

from crocusshunt.gateway._limit_errors import (
    LimitUnavailableError,
    RateExceededError,
    format_limit_headers,
)
from crocusshunt.gateway._limits import Limiter
from crocusshunt.gateway._metrics_service import MetricsService
from crocusshunt.gateway._service import GatewayService
from crocusshunt.gateway._settings import (
    DeliveryPolicy,
    GatewaySection,
    GatewaySettings,
)

__all__ = (
    'DeliveryPolicy',
    'GatewaySection',
    'GatewayService',
    'GatewaySettings',
    'LimitUnavailableError',
    'Limiter',
    'MetricsService',
    'RateExceededError',
    'format_limit_headers',
)
