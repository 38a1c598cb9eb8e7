"""Stand-ins for the platform and for backend servers."""

from crocusshunt.standin._backends import (
    BackendService,
    BackendSwitches,
    Fault,
    ReceivedRequest,
    RunCounter,
    create_backends,
)
from crocusshunt.standin._documents import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    SERVERS_TABLE,
    CustomerDocument,
    HostDocument,
    describe_route,
    encode_configuration,
    encode_server,
    encode_settings,
)
from crocusshunt.standin._feed_application import FeedStoreApplication
from crocusshunt.standin._feeds import (
    FeedFaults,
    MemoryFeedStore,
    StoreCopy,
)
from crocusshunt.standin._memory import MemoryPlatform, PlatformSwitches
from crocusshunt.standin._platform import PlatformService
from crocusshunt.standin._ports import LOOPBACK, draw_free_ports
from crocusshunt.standin._settings import StandinSection, StandinSettings

__all__ = (
    'CONFIGURATION_KEY',
    'CONFIGURATION_TABLE',
    'LOOPBACK',
    'SERVERS_TABLE',
    'BackendService',
    'BackendSwitches',
    'CustomerDocument',
    'Fault',
    'FeedFaults',
    'FeedStoreApplication',
    'HostDocument',
    'MemoryFeedStore',
    'MemoryPlatform',
    'PlatformService',
    'PlatformSwitches',
    'ReceivedRequest',
    'RunCounter',
    'StandinSection',
    'StandinSettings',
    'StoreCopy',
    'create_backends',
    'describe_route',
    'draw_free_ports',
    'encode_configuration',
    'encode_server',
    'encode_settings',
)
