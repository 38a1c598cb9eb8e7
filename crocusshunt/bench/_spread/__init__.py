"""A simulated fleet that spreads the configuration."""

from crocusshunt.bench._spread._fleet import SpreadFleet, SpreadSettings
from crocusshunt.bench._spread._pool import Wire

__all__ = ('SpreadFleet', 'SpreadSettings', 'Wire')
