"""Reload of changed and of unreadable settings."""

from dataclasses import replace

from result import Err, Ok, Result

from crocusshunt.front import FrontSettings, MalformedSourceError
from crocusshunt.front._reload import SettingsReload

_SETTINGS = FrontSettings(
    name='h1',
    ip='10.0.0.1',
    region='a',
    failure_domain='a1',
    front_address='10.0.0.1:80',
    ready_address='10.0.0.1:81',
    directory_address='10.0.0.1:82',
    internal_port=7600,
    regions={'a1': 'a'},
    store_address='10.9.0.1:80',
)


def test_changed_regions_are_applied_and_own_addresses_kept() -> None:
    applied: list[FrontSettings] = []
    found = replace(_SETTINGS, regions={'a1': 'b'}, ip='10.0.0.2')
    reload = SettingsReload(_SETTINGS, lambda: Ok(found), applied.append)
    reload.check(is_requested=False)
    reload.check(is_requested=True)
    assert applied == [replace(_SETTINGS, regions={'a1': 'b'})]


def test_unreadable_settings_change_nothing() -> None:
    applied: list[FrontSettings] = []

    def read() -> Result[FrontSettings, MalformedSourceError]:
        return Err(MalformedSourceError('settings', 'truncated'))

    SettingsReload(_SETTINGS, read, applied.append).check(is_requested=True)
    assert not applied
