"""When a client of the platform calls, waits and gives up."""

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum

from crocusshunt.core import Clock

_TOKENS_PER_CALL = 0.1
_MAX_TOKENS = 10
_FAILURES_TO_OPEN = 5
_FIRST_PAUSE_S = 0.05
_MAX_RETRIES = 2
_OPEN_S = 1
_WINDOW_S = 10


class CircuitState(str, Enum):
    """Whether calls are made, refused at once, or tried one at a time."""

    closed = 'closed'
    open = 'open'
    probing = 'probing'


@dataclass(frozen=True, slots=True)
class Tally:
    """Calls a second, over the last ten seconds."""

    calls: float
    retries: float
    failures: float


class CallPolicy:
    """Retry budget, circuit and tally of one client.

    A retry costs a token, a first call earns a tenth of one, so retries add
    at most a tenth to the load of a store that is failing.

    >>> from crocusshunt.core import ManualClock
    >>> policy = CallPolicy(ManualClock(), random.Random(1))
    >>> for _ in range(5):
    ...     policy.note_failure()
    >>> policy.state.value, policy.admit()
    ('open', False)
    """

    def __init__(self, clock: Clock, source: random.Random) -> None:
        """Start closed with a full budget."""
        self._clock = clock
        self._source = source
        self._tokens: float = _MAX_TOKENS
        self._failures = 0
        self._open_until = float('-inf')
        self._is_probing = False
        self._events: deque[tuple[float, str]] = deque()

    @property
    def state(self) -> CircuitState:
        """Return the state of the circuit."""
        if self._failures < _FAILURES_TO_OPEN:
            return CircuitState.closed
        if self._clock.monotonic() < self._open_until:
            return CircuitState.open
        return CircuitState.probing

    def admit(self) -> bool:
        """Tell whether a first call may be made now, and count it."""
        state = self.state
        is_refused = state is CircuitState.open
        if is_refused or (state is CircuitState.probing and self._is_probing):
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
        bound: float = _FIRST_PAUSE_S * 2**attempt
        return self._source.uniform(0, bound)

    def note_success(self) -> None:
        """Close the circuit."""
        self._failures = 0

    def note_failure(self) -> None:
        """Count a failed call; enough of them in a row open the circuit."""
        self._failures += 1
        self._count('failures')
        if self._failures >= _FAILURES_TO_OPEN:
            pause = _OPEN_S * (0.5 + self._source.random())
            self._open_until = self._clock.monotonic() + pause

    def release(self) -> None:
        """Let another call probe, also where this one was cancelled."""
        self._is_probing = False

    def tally(self) -> Tally:
        """Return the calls a second."""
        self._forget()
        kinds = [kind for _at, kind in self._events]
        return Tally(
            kinds.count('calls') / _WINDOW_S,
            kinds.count('retries') / _WINDOW_S,
            kinds.count('failures') / _WINDOW_S,
        )

    def _count(self, kind: str) -> None:
        self._forget()
        self._events.append((self._clock.monotonic(), kind))

    def _forget(self) -> None:
        oldest = self._clock.monotonic() - _WINDOW_S
        while self._events and self._events[0][0] < oldest:
            self._events.popleft()
