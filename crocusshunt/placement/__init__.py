"""Choice of the backend server that gets a request."""

from crocusshunt.placement._backoffs import ServerBackoffs, parse_retry_after
from crocusshunt.placement._choice import (
    Candidate,
    Choice,
    ChoiceSettings,
    RequestConstraints,
    choose_server,
)
from crocusshunt.placement._draining import DrainingReport, DrainingServers
from crocusshunt.placement._entries import ServerEntry
from crocusshunt.placement._health import (
    HealthSettings,
    HealthTracker,
    ServerFailure,
    ServerHealth,
)
from crocusshunt.placement._loads import LoadReport, ServerLoad, parse_load
from crocusshunt.placement._locality import (
    Locality,
    RegionLoad,
    adjust_local_factor,
    plan_locality,
    rank_servers,
)
from crocusshunt.placement._mix import compute_mix, move_locality
from crocusshunt.placement._offered_load import OfferedLoad
from crocusshunt.placement._recent_objects import RecentObjects
from crocusshunt.placement._registry import ServerRegistry, TrackedServer
from crocusshunt.placement._returns import ReturnSchedule, SlotRate
from crocusshunt.placement._round_trips import RoundTrips
from crocusshunt.placement._server_limits import (
    LimitReport,
    ServerLimits,
    divide_limit,
    parse_limit,
)
from crocusshunt.placement._service_times import ServiceTimes, Timing
from crocusshunt.placement._splits import WeightedSplit
from crocusshunt.placement._waiting import (
    WaitingLine,
    WaitingRank,
    compute_pause,
    compute_wait_limit,
)

__all__ = (
    'Candidate',
    'Choice',
    'ChoiceSettings',
    'DrainingReport',
    'DrainingServers',
    'HealthSettings',
    'HealthTracker',
    'LimitReport',
    'LoadReport',
    'Locality',
    'OfferedLoad',
    'RecentObjects',
    'RegionLoad',
    'RequestConstraints',
    'ReturnSchedule',
    'RoundTrips',
    'ServerBackoffs',
    'ServerEntry',
    'ServerFailure',
    'ServerHealth',
    'ServerLimits',
    'ServerLoad',
    'ServerRegistry',
    'ServiceTimes',
    'SlotRate',
    'Timing',
    'TrackedServer',
    'WaitingLine',
    'WaitingRank',
    'WeightedSplit',
    'adjust_local_factor',
    'choose_server',
    'compute_mix',
    'compute_pause',
    'compute_wait_limit',
    'divide_limit',
    'move_locality',
    'parse_limit',
    'parse_load',
    'parse_retry_after',
    'plan_locality',
    'rank_servers',
)
