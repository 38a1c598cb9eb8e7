"""Program settings, read from INI files and validated."""

from crocusshunt.settings._constraints import (
    BaseUrl,
    Duration,
    HostAddress,
    OptionalDigest,
    Port,
    TcpAddress,
)
from crocusshunt.settings._reader import (
    SettingsError,
    read_sections,
    read_settings,
)

__all__ = (
    'BaseUrl',
    'Duration',
    'HostAddress',
    'OptionalDigest',
    'Port',
    'SettingsError',
    'TcpAddress',
    'read_sections',
    'read_settings',
)
