"""When a quarantined request is sent once more."""

from itertools import pairwise

from crocusshunt.crashes._culprits import CrashSettings
from crocusshunt.crashes._reports import History

# With more, the pause would be longer than the window in any case.
_MAX_BACKOFF_COUNT = 20


def find_trial_time(history: History, settings: CrashSettings) -> float:
    """Return when a quarantined request may be sent, in monotonic seconds.

    Each trial that crashed a server makes the next pause longer, also if the
    host that tries has changed or all have started anew since.

    >>> settings = CrashSettings(trial_after_s=5, trial_backoff=8)
    >>> burst = {'s1': 0.0, 's2': 1.0, 's3': 2.0, 's4': 3.0}
    >>> find_trial_time(History(crashes=burst), settings)
    8.0
    >>> find_trial_time(History(crashes=burst | {'s5': 8.0}), settings)
    48.0
    """
    trials = max(history.trials, _count_failed_trials(history, settings))
    pause_s = settings.trial_after_s * settings.trial_backoff ** min(
        trials, _MAX_BACKOFF_COUNT
    )
    since = max(history.tried_at, history.changed_at)
    return since + min(pause_s, settings.window_s)


def _count_failed_trials(history: History, settings: CrashSettings) -> int:
    """Return how many trials crashed a server: those after such a pause."""
    times = sorted(history.crashes.values())[settings.crashes - 1 :]
    return sum(
        later - earlier >= settings.trial_after_s
        for earlier, later in pairwise(times)
    )
