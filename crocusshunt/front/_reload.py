"""Settings that change while the host runs."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from result import Err, Result

from crocusshunt.front._errors import MalformedSourceError
from crocusshunt.front._settings import FrontSettings
from crocusshunt.logs import log_event

# The file may change without a signal.
_POLL_S = 1

ReadSettings = Callable[[], Result[FrontSettings, MalformedSourceError]]


@dataclass(slots=True)
class SettingsReload:
    """Reads the settings when asked to, and now and then.

    Unreadable settings are logged and change nothing. Addresses of this
    host take effect with its next start.
    """

    in_force: FrontSettings
    read: ReadSettings
    apply: Callable[[FrontSettings], None]
    _requested: asyncio.Event = field(default_factory=asyncio.Event)
    _last_problem: str = ''

    def request(self) -> None:
        """Read the settings at once."""
        self._requested.set()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            is_requested = await self._wait()
            self.check(is_requested=is_requested)

    def check(self, *, is_requested: bool) -> None:
        """Read the settings, and apply what changed."""
        found = self.read()
        if isinstance(found, Err):
            self._note_problem(found.err_value)
            return
        self._last_problem = ''
        changed = _keep_addresses(found.ok_value, self.in_force)
        if changed != self.in_force:
            self.in_force = changed
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

    def _note_problem(self, error: MalformedSourceError) -> None:
        problem = str(error)
        if problem != self._last_problem:
            self._last_problem = problem
            log_event('settings ignored', logging.ERROR, cause=problem)


def _keep_addresses(
    found: FrontSettings,
    in_force: FrontSettings,
) -> FrontSettings:
    return replace(
        found,
        name=in_force.name,
        ip=in_force.ip,
        region=in_force.region,
        failure_domain=in_force.failure_domain,
        front_address=in_force.front_address,
        ready_address=in_force.ready_address,
        directory_address=in_force.directory_address,
        internal_port=in_force.internal_port,
    )
