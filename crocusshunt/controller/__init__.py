"""The control process of a host.

It follows the configuration, takes part in membership, lends customers'
admission tokens and advances traffic shifts.
"""

from crocusshunt.controller._lending import Lending, LendingContext
from crocusshunt.controller._service import ControllerService
from crocusshunt.controller._settings import (
    ControllerSection,
    ControllerSettings,
)
from crocusshunt.controller._shifts import ShiftRunner, ShiftSources

__all__ = (
    'ControllerSection',
    'ControllerService',
    'ControllerSettings',
    'Lending',
    'LendingContext',
    'ShiftRunner',
    'ShiftSources',
)
