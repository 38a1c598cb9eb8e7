"""Settings of programs, read from INI files and validated."""

from crocusshunt.settings._reader import (
    SettingsError,
    read_sections,
    read_settings,
)

__all__ = ('SettingsError', 'read_sections', 'read_settings')
