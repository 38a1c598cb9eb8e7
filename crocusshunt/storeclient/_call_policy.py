"""Retry budget and circuit breaker of a client of the platform."""

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum

from crocusshunt.core import Clock

_TOKENS_PER_CALL = 0.1
_MAX_TOKENS = 10
_FAILURES_TO_OPEN = 5
_BASE_BACKOFF_S = 0.05
_MAX_RETRIES = 2
_MEAN_OPEN_S = 1
_RATE_WINDOW_S = 10


class CircuitState(str, Enum):
    """State of the circuit breaker.

    * ``closed``: calls are made.
    * ``open``: calls fail at once, without being made.
    * ``probing``: one call at a time is made, to see whether it succeeds.
    """

    closed = 'closed'
    open = 'open'
    probing = 'probing'


@dataclass(frozen=True, slots=True)
class CallRates:
    """Mean rates over the last ten seconds, each per second.

    :param calls: calls made, retries included.
    :param retries: calls that repeated a failed one.
    :param failures: calls that failed with all their retries.
    """

    calls: float
    retries: float
    failures: float


class CallPolicy:
    """Retry budget, circuit breaker and call rates of one client.

    A retry costs a token and a first call earns a tenth of one, so retries
    add at most a tenth to the load of a failing store. Five failures in a
    row open the circuit for 0.5 to 1.5 seconds, drawn at random.

    >>> from crocusshunt.core import ManualClock
    >>> policy = CallPolicy(ManualClock(), random.Random(1))
    >>> for _ in range(5):
    ...     policy.record_failure()
    >>> policy.state.value, policy.admit()
    ('open', False)
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start with a closed circuit and a full retry budget."""
        self._clock = clock
        self._rng = rng
        self._tokens: float = _MAX_TOKENS
        self._consecutive_failures = 0
        self._open_until = float('-inf')
        self._is_probing = False
        self._events: deque[tuple[float, str]] = deque()

    @property
    def state(self) -> CircuitState:
        """Return the state of the circuit breaker."""
        if self._consecutive_failures < _FAILURES_TO_OPEN:
            return CircuitState.closed
        if self._clock.monotonic() < self._open_until:
            return CircuitState.open
        return CircuitState.probing

    def admit(self) -> bool:
        """Tell whether a first call may be made now, and count it."""
        state = self.state
        is_open = state is CircuitState.open
        if is_open or (state is CircuitState.probing and self._is_probing):
            return False
        self._is_probing = state is CircuitState.probing
        self._tokens = min(_MAX_TOKENS, self._tokens + _TOKENS_PER_CALL)
        self._count('calls')
        return True

    def plan_retry(self, attempt: int) -> float | None:
        """Return the pause in seconds before a retry, None for no retry.

        Full jitter: uniform between 0 and an exponentially growing bound
        (M. Brooker, "Exponential Backoff and Jitter", 2015).

        :param attempt: number of calls made so far.
        """
        if attempt > _MAX_RETRIES or self._tokens < 1:
            return None
        if self.state is not CircuitState.closed:
            return None
        self._tokens -= 1
        self._count('retries')
        self._count('calls')
        max_pause_s: float = _BASE_BACKOFF_S * 2**attempt
        return self._rng.uniform(0, max_pause_s)

    def record_success(self) -> None:
        """Close the circuit after a successful call."""
        self._consecutive_failures = 0

    def record_failure(self) -> None:
        """Count a failed call, and open the circuit after five in a row."""
        self._consecutive_failures += 1
        self._count('failures')
        if self._consecutive_failures >= _FAILURES_TO_OPEN:
            pause_s = _MEAN_OPEN_S * (0.5 + self._rng.random())
            self._open_until = self._clock.monotonic() + pause_s

    def release(self) -> None:
        """Allow the next probe; called when a call ends, even if cancelled."""
        self._is_probing = False

    def measure_rates(self) -> CallRates:
        """Return the rates over the last ten seconds."""
        self._drop_old_events()
        kinds = [kind for _at, kind in self._events]
        return CallRates(
            kinds.count('calls') / _RATE_WINDOW_S,
            kinds.count('retries') / _RATE_WINDOW_S,
            kinds.count('failures') / _RATE_WINDOW_S,
        )

    def _count(self, kind: str) -> None:
        self._drop_old_events()
        self._events.append((self._clock.monotonic(), kind))

    def _drop_old_events(self) -> None:
        oldest = self._clock.monotonic() - _RATE_WINDOW_S
        while self._events and self._events[0][0] < oldest:
            self._events.popleft()
