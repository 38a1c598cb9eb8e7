"""Simulation of hosts, network and time in one process."""

from crocusshunt.bench._simulation._overshoot import count_overshoot
from crocusshunt.bench._simulation._fleet import Layout, LimitFleet
from crocusshunt.bench._simulation._network import Faults, Network
from crocusshunt.bench._simulation._time import LoopClock, simulate
from crocusshunt.bench._simulation._traffic import (
    Arrival,
    Load,
    Tally,
    create_arrivals,
    send_requests,
)

__all__ = (
    'Arrival',
    'Faults',
    'Load',
    'Layout',
    'LimitFleet',
    'LoopClock',
    'Network',
    'Tally',
    'count_overshoot',
    'create_arrivals',
    'send_requests',
    'simulate',
)
