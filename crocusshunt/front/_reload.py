"""Reload of settings while the host runs."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from result import Err, Result

from crocusshunt.front._errors import MalformedSourceError
from crocusshunt.front._settings import FrontSettings
from crocusshunt.logs import log_event

# The file may change without a signal, so it is read at this interval too.
_POLL_S = 1

ReadSettings = Callable[[], Result[FrontSettings, MalformedSourceError]]


@dataclass(slots=True)
class SettingsReload:
    """Reads the settings again on request and periodically.

    Unreadable settings are logged and change nothing. Name, location and
    addresses of this host take effect only with its next start.

    :param current: the settings in use.
    """

    current: FrontSettings
    read: ReadSettings
    apply: Callable[[FrontSettings], None]
    _requested: asyncio.Event = field(default_factory=asyncio.Event)
    _last_problem: str = ''

    def request(self) -> None:
        """Read the settings at once."""
        self._requested.set()

    async def run(self) -> None:
        """Check the settings on request and periodically, until cancelled."""
        while True:
            is_requested = await self._wait()
            self.check(is_requested=is_requested)

    def check(self, *, is_requested: bool) -> None:
        """Read the settings, and apply what changed.

        :param is_requested: whether it was asked for, and not periodic.
        """
        found = self.read()
        if isinstance(found, Err):
            self._log_problem(found.err_value)
            return
        self._last_problem = ''
        changed = _keep_startup_settings(found.ok_value, self.current)
        if changed != self.current:
            self.current = changed
            self.apply(changed)
            log_event('settings changed', is_requested=is_requested)
        elif is_requested:
            log_event('settings reloaded, nothing changed')

    async def _wait(self) -> bool:
        try:
            async with asyncio.timeout(_POLL_S):
                await self._requested.wait()
        except TimeoutError:
            return False
        self._requested.clear()
        return True

    def _log_problem(self, error: MalformedSourceError) -> None:
        problem = str(error)
        if problem != self._last_problem:
            self._last_problem = problem
            log_event('settings ignored', logging.ERROR, cause=problem)


def _keep_startup_settings(
    found: FrontSettings,
    current: FrontSettings,
) -> FrontSettings:
    return replace(
        found,
        name=current.name,
        ip=current.ip,
        region=current.region,
        failure_domain=current.failure_domain,
        front_address=current.front_address,
        ready_address=current.ready_address,
        directory_address=current.directory_address,
        internal_port=current.internal_port,
        is_first_start=current.is_first_start,
    )
