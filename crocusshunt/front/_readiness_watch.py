"""Log and age of what keeps a host from being ready."""

import asyncio
import logging
from dataclasses import dataclass, field

from crocusshunt.core import Clock
from crocusshunt.front._obstacles import Obstacle
from crocusshunt.front._readiness import Readiness
from crocusshunt.logs import log_event

_CHECK_INTERVAL_S = 0.5
# What lasts is logged again after this time.
_REPEAT_S = 5
_DIGITS = 3

_Key = tuple[str, str]


@dataclass(frozen=True, slots=True)
class LastingObstacle:
    """What keeps a host from being ready, and for how long it has.

    :param age_s: time since it was first seen, in seconds.
    """

    obstacle: Obstacle
    age_s: float


@dataclass(slots=True)
class ReadinessWatch:
    """Follows when this host became ready or stopped being so, and why.

    Each obstacle is logged when it is first seen, and every few seconds while
    it lasts.
    """

    readiness: Readiness
    clock: Clock
    _since: dict[_Key, float] = field(default_factory=dict)
    _logged_at: dict[_Key, float] = field(default_factory=dict)
    _is_ready: bool = False
    _changed_at: float = field(init=False)

    def __post_init__(self) -> None:
        """Count from the creation of the host as not ready."""
        self._changed_at = self.clock.monotonic()

    async def run(self) -> None:
        """Log the changes, until cancelled."""
        while True:
            self.log_changes()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def list_obstacles(self) -> tuple[LastingObstacle, ...]:
        """Return what keeps this host from being ready, with its age."""
        now = self.clock.monotonic()
        obstacles = {one.key: one for one in self.readiness.list_obstacles()}
        self._since = {key: self._since.get(key, now) for key in obstacles}
        return tuple(
            LastingObstacle(obstacle, round(now - self._since[key], _DIGITS))
            for key, obstacle in obstacles.items()
        )

    def log_changes(self) -> None:
        """Log what has changed since the last call, or lasts."""
        now = self.clock.monotonic()
        lasting = self.list_obstacles()
        for one in lasting:
            self._log_obstacle(one, now)
        for key in self._logged_at.keys() - self._since.keys():
            self._logged_at.pop(key)
        is_ready = not lasting
        if is_ready != self._is_ready:
            self._log_readiness(is_ready=is_ready, now=now)

    def _log_obstacle(self, lasting: LastingObstacle, now: float) -> None:
        obstacle = lasting.obstacle
        last = self._logged_at.get(obstacle.key)
        if last is not None and now - last < _REPEAT_S:
            return
        self._logged_at[obstacle.key] = now
        log_event(
            'host not ready',
            logging.INFO if last is None else logging.WARNING,
            condition=obstacle.condition.value,
            subject=obstacle.subject,
            cause=obstacle.cause,
            age_s=lasting.age_s,
        )

    def _log_readiness(self, *, is_ready: bool, now: float) -> None:
        log_event(
            'host ready' if is_ready else 'host no longer ready',
            after_s=round(now - self._changed_at, _DIGITS),
        )
        self._is_ready = is_ready
        self._changed_at = now
