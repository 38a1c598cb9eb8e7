"""The check of the rule QUOTA, as it is written."""

from bisect import bisect_left

WINDOW_S = 5
EXCESS = 0.1
SLACK = 20


def find_limit(rate, burst):
    """Return the most requests of a tenant that a window may hold."""
    return (rate * WINDOW_S + burst) * (1 + EXCESS) + SLACK


def find_fullest(record, tenant):
    """Return the fullest window of a tenant: requests, and where it begins.

    A request counts that is both sent and run in the window.
    """
    sent = {one['id']: one['t'] for one in record.select('sent')}
    runs = sorted(
        (one['t'], sent[one['id']])
        for one in record.select('run')
        if one['tenant'] == tenant
    )
    times = [ran_at for ran_at, _sent_at in runs]
    fullest, start = 0, 0.0
    # The fullest window begins when some request was sent.
    for begin in sorted(sent_at for _ran_at, sent_at in runs):
        first = bisect_left(times, begin)
        last = bisect_left(times, begin + WINDOW_S)
        count = sum(sent_at >= begin for _t, sent_at in runs[first:last])
        if count > fullest:
            fullest, start = count, begin
    return fullest, start


def list_rates(record, tenant, step_s=1.0):
    """Return the requests of a tenant that ran, by second."""
    counts = {}
    for one in record.select('run'):
        if one['tenant'] == tenant:
            second = int(one['t'] // step_s)
            counts[second] = counts.get(second, 0) + 1
    return [counts.get(second, 0) for second in range(max(counts) + 1)]
