"""Machines that a cut zone link parts use an allotment twice."""

import asyncio
import bisect
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins_2'))

from lab import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    Backend,
    Host,
    KeptChannels,
    Operator,
    Store,
    StoreView,
    client_headers,
    create_id,
    play,
    route,
)

ZONES = ('a1', 'a2', 'b1', 'b1', 'b1', 'b1', 'c1', 'c1', 'c1', 'c1')
RATE_PER_S = 160
BURST = 20
ASKED_PER_S = 2.75 * RATE_PER_S
CUT_S = 5.5
KEY = 'key-of-the-large-brewery'


async def case(record, hosts):
    store = Store(record)
    await store.start()
    tenant = {'api_keys': [KEY], 'rate_per_s': RATE_PER_S, 'burst': BURST}
    Operator(store, record).write(
        {'read': route(public=False, timeout_s=3.0)},
        {'desk': {}},
        {'brewery': tenant},
    )
    backends = [
        Backend(record, store, f'i-{zone}', zone=zone, slots=60)
        for zone in ('a1', 'a2', 'b1', 'c1')
    ]
    for backend in backends:
        await backend.start()
        backend.work = lambda _first, _headers: (0.02, b'rates')
    views = await _start_hosts(record, store, hosts)
    await asyncio.sleep(6)
    near = [KeptChannels(host.front) for host in hosts if host.region == 'a']
    asking = asyncio.create_task(_ask(record, near, 20))
    await asyncio.sleep(9)
    links = [
        views[one.name].peers[other.name]
        for one in hosts
        for other in hosts
        if {one.zone, other.zone} == {'a1', 'a2'}
    ]
    if TROUBLE:
        record.note('cut: the machines of a1 and a2 do not reach each other')
        for link in links:
            link.cut()
    await asyncio.sleep(CUT_S)
    if TROUBLE:
        for link in links:
            await link.heal()
        record.note('cut: ended')
    await asking
    return _keeps_allotment(record, backends)


async def _start_hosts(record, store, hosts):
    """Start all hosts, each with links of its own to the others."""
    views = {}
    for number, zone in enumerate(ZONES):
        host = Host(record, store, f'h-{zone}-{number}', zone=zone, region=zone[0])
        views[host.name] = StoreView(store)
        await views[host.name].start()
        host.store_address = views[host.name].address
        hosts.append(host)
    for one in hosts:
        for other in hosts:
            if other is not one:
                await views[one.name].link_host(other)
    for host in hosts:
        host.start()
    for host in hosts:
        await host.wait_ready(40)
    return views


async def _ask(record, channels, seconds):
    """Send requests of the tenant at an even rate to random machines."""
    started_at = time.monotonic()
    tasks = set()
    for number in range(int(seconds * ASKED_PER_S)):
        due_at = started_at + number / ASKED_PER_S
        await asyncio.sleep(max(0, due_at - time.monotonic()))
        headers = client_headers(create_id(), 3000, Authorization=f'Token {KEY}')
        request = random.choice(channels).call('GET', '/read/x', headers)
        task = asyncio.create_task(request)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    counts = {}
    for one in channels:
        for status, count in one.answers.items():
            counts[status] = counts.get(status, 0) + count
    record.note(f'clients: answers by status {counts}')


def _keeps_allotment(record, backends):
    window_s = BOUNDS['quota_window_s']
    limit = (RATE_PER_S * window_s + BURST) * (1 + BOUNDS['quota_excess'])
    limit += BOUNDS['quota_slack']
    first_runs = {}
    for backend in backends:
        for at, request_id, *_rest in backend.ran:
            first_runs[request_id] = min(at, first_runs.get(request_id, at))
    times = sorted(first_runs.values())
    fullest = max(
        bisect.bisect_right(times, at + window_s) - number
        for number, at in enumerate(times)
    )
    record.note(f'most requests that ran in {window_s} s: {fullest}, allowed {limit}')
    return fullest <= limit


play(case, FOLDER)
