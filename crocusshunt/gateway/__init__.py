"""The process that passes callers' requests to backend servers."""

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
)
