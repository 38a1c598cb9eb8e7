"""The process that passes callers' requests to backend servers."""

from crocusshunt.gateway._service import GatewayService
from crocusshunt.gateway._settings import GatewaySection, GatewaySettings

__all__ = ('GatewaySection', 'GatewayService', 'GatewaySettings')
