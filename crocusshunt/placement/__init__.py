"""Which backend server gets a request."""

from crocusshunt.placement._book import ServerBook, TrackedServer
from crocusshunt.placement._choice import (
    Choice,
    ChoiceSettings,
    Need,
    Ranked,
    choose_server,
)
from crocusshunt.placement._familiarity import FamiliarObjects
from crocusshunt.placement._health import (
    HealthBook,
    HealthSettings,
    ServerFailure,
    ServerHealth,
)
from crocusshunt.placement._loads import LoadReport, ServerLoad, parse_load
from crocusshunt.placement._locality import (
    Locality,
    RegionRoom,
    adjust_relief,
    plan_locality,
    rank_servers,
)
from crocusshunt.placement._splits import WeightedSplit
from crocusshunt.placement._times import ServiceTimes, Timing
from crocusshunt.placement._values import ServerEntry

__all__ = (
    'Choice',
    'ChoiceSettings',
    'FamiliarObjects',
    'HealthBook',
    'HealthSettings',
    'LoadReport',
    'Locality',
    'Need',
    'Ranked',
    'RegionRoom',
    'ServerBook',
    'ServerEntry',
    'ServerFailure',
    'ServerHealth',
    'ServerLoad',
    'ServiceTimes',
    'Timing',
    'TrackedServer',
    'WeightedSplit',
    'adjust_relief',
    'choose_server',
    'parse_load',
    'plan_locality',
    'rank_servers',
)
