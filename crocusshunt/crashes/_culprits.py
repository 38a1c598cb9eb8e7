"""Which requests crashes of backend servers are put down to."""

from collections.abc import Mapping
from dataclasses import dataclass

# Between the name of a server and its start.
START_SEPARATOR = '@'
# Times of crashes by the server, named with its start.
Crashes = Mapping[str, float]


@dataclass(frozen=True, slots=True)
class CrashSettings:
    """When a request is no longer sent to servers.

    :param crashes: crashes after which it is quarantined.
    :param window_s: how long a crash counts, in seconds.
    :param trial_after_s: time after the last crash until it is sent once
        more, in seconds. Servers that had it may have had a common failure.
    :param trial_backoff: factor on that time after each trial.
    :param max_requests: number of requests that are remembered.
    """

    crashes: int = 3
    window_s: float = 600
    trial_after_s: float = 5
    trial_backoff: float = 8
    max_requests: int = 4096


def find_culprits(
    crashes: Mapping[str, Crashes], settings: CrashSettings
) -> frozenset[str]:
    """Return the fingerprints of the requests that are to be quarantined.

    All requests at a server that crashes lose their connections, so each of
    them is suspect. The one with the most crashes is taken for the cause of
    all of its crashes, which then don't count against the others.

    :param crashes: the crashes under each request, by its fingerprint.

    >>> bad = {'s1': 1.0, 's2': 2.0, 's3': 3.0, 's4': 4.0}
    >>> good = {'s1': 1.0, 's2': 2.0, 's3': 3.0}
    >>> sorted(find_culprits({'bad': bad, 'good': good}, CrashSettings()))
    ['bad']
    """
    culprits: set[str] = set()
    explained: set[str] = set()
    by_count = sorted(crashes, key=lambda name: (-len(crashes[name]), name))
    for fingerprint in by_count:
        unexplained = crashes[fingerprint].keys() - explained
        if len(unexplained) >= settings.crashes:
            culprits.add(fingerprint)
            explained.update(crashes[fingerprint])
    return frozenset(culprits)
