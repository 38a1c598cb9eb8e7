"""A request that was passed on is run again after a planned stop."""

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins_2'))

from lab import (  # noqa: E402
    TROUBLE,
    Backend,
    Host,
    NotRunError,
    Operator,
    Store,
    StoreView,
    call,
    client_headers,
    create_id,
    play,
    route,
)

# As of the slowest class of the site files: time-out and time budget.
TIMEOUT_S = 8
BUDGET_MS = 20_000
# Within the range of that class: 3.52 s on average, 10.56 s at most.
WORK_S = 7.5
CUT_S = 3
REQUESTS = 8


async def case(record, hosts):
    store = Store(record)
    await store.start()
    routes = {
        'renewals': route(
            prefix='/renew/',
            kind='non_idempotent',
            max_attempts=1,
            timeout_s=TIMEOUT_S,
            target_latency_s=2.5,
        )
    }
    Operator(store, record).write(routes, {'desk': {}})
    backends = [Backend(record, store, f'i-{n}', zone='b1') for n in range(1, 5)]
    for backend in backends:
        await backend.start()
        backend.work = lambda _first, _headers: (0.3, b'renewed')
    views = {}
    for name, zone in (('h-a1-1', 'a1'), ('h-a2-1', 'a2'), ('h-a2-2', 'a2')):
        views[name] = StoreView(store)
        await views[name].start()
        for backend in backends:
            await views[name].link(backend)
        host = Host(record, store, name, zone=zone)
        host.store_address = views[name].address
        hosts.append(host)
        host.start()
    for host in hosts:
        await host.wait_ready()
    near, stopped, _other = hosts
    await asyncio.sleep(3)

    def send():
        headers = client_headers(create_id(), BUDGET_MS)
        return asyncio.create_task(
            call(record, near.front, 'POST', '/renew/x', headers, b'entry', 22)
        )

    await asyncio.gather(*(send() for _ in range(4)))
    links = views[near.name].links.values()
    if TROUBLE:
        record.note('cut: zones a1 and b1 do not reach each other, a2 reaches both')
        for link in links:
            link.cut()
    await asyncio.sleep(0.3)
    await asyncio.gather(*(send() for _ in range(2)))
    await asyncio.sleep(1)
    for backend in backends:
        backend.work = lambda _first, _headers: (WORK_S, b'renewed')
    sent = [send() for _ in range(REQUESTS)]
    await asyncio.sleep(0.5)
    if TROUBLE:
        stopped.signal(signal.SIGTERM)
    await asyncio.sleep(CUT_S - 1.8)
    if TROUBLE:
        for link in links:
            await link.heal()
        record.note('cut: ended')
    answers = await asyncio.gather(*sent)
    runs = Counter(run[1] for backend in backends for run in backend.ran)
    twice = sorted(name for name, count in runs.items() if count > 1)
    record.note(f'ran more than once: {twice}')
    if not TROUBLE and any(one.status != 200 for one in answers):
        raise NotRunError('a request failed without the trouble')
    return not twice


play(case, FOLDER)
