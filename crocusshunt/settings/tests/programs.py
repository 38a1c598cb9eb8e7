"""Settings classes of all programs that read an INI file of settings."""

from collections.abc import Mapping

from crocusshunt.api import ApiSettings
from crocusshunt.controller import ControllerSettings
from crocusshunt.gateway import GatewaySettings
from crocusshunt.locator import LocatorSettings
from crocusshunt.standin import StandinSettings

PROGRAMS: Mapping[str, type] = {
    'crocus-api': ApiSettings,
    'crocus-controller': ControllerSettings,
    'crocus-gateway': GatewaySettings,
    'crocus-locator': LocatorSettings,
    'crocus-standin': StandinSettings,
}
