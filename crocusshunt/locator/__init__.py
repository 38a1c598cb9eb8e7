"""The process that tells callers which entry hosts to use."""

from crocusshunt.locator._service import LocatorService
from crocusshunt.locator._settings import LocatorSection, LocatorSettings

__all__ = ('LocatorSection', 'LocatorService', 'LocatorSettings')
