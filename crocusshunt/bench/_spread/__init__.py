"""Simulated fleet that propagates configuration changes."""

from crocusshunt.bench._spread._fleet import SpreadFleet, SpreadSettings
from crocusshunt.bench._spread._network import SimulatedNetwork

__all__ = ('SpreadFleet', 'SpreadSettings', 'SimulatedNetwork')
