"""A host is stopped while a pipelined answer waits behind a slow one."""

import asyncio
import signal

from review.standins import case as frame

GRACE_S = 6.0
# Both as archive-lookup on the site.
BUDGET_S, TIMEOUT_S = 20.0, 20.0
SLOW_WORK_S = 6.5
CLIENTS = 4
BEHIND = 3
ZONES = {'addis-a': 'addis', 'addis-b': 'addis', 'dire-a': 'dire'}
HOST_ZONES = ('addis-a', 'addis-b', 'dire-a')
KEY = 'kept0wsnjbanfqasnmgk'


async def play(case):
    routes = [
        frame.route(name, name, f'/{name}/', timeout_s=TIMEOUT_S,
                    target_latency_s=2.5)
        for name in ('slow', 'quick')
    ]
    manifest = 12, [
        *routes,
        frame.tenant('court', [KEY]),
        frame.service('slow'),
        frame.service('quick'),
    ]
    work_s = {'slow': SLOW_WORK_S, 'quick': 0.05}
    backends = [
        (f'i-{pool}-{zone}', pool, zone, {'work_s': work_s[pool]})
        for pool in work_s
        for zone in ZONES
    ]
    await case.start(ZONES, HOST_ZONES, manifest, backends)
    stopped = case.hosts[0]
    paths = ['/slow/1', *(f'/quick/{number}' for number in range(BEHIND))]
    channels = [
        asyncio.create_task(
            case.client.pipeline(stopped.front, paths, KEY, BUDGET_S)
        )
        for _number in range(CLIENTS)
    ]
    await asyncio.sleep(0.5)
    if case.has_trouble:
        case.record.note('SIGTERM', host=stopped.name)
        stopped.signal(signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    case.record.note(
        'end of grace', host=stopped.name, running=stopped.is_running
    )
    if case.has_trouble:
        stopped.kill()
    await asyncio.gather(*channels)


def judge(case):
    runs = {one['id']: one for one in case.record.select('run')}
    answered = {
        one['id']: one
        for one in case.record.select('answered')
        if one['status'] == 200
    }
    sent = case.record.select('sent')
    lost = [
        one
        for one in sent
        if one['path'].startswith('/quick/')
        and one['id'] in runs
        and one['id'] not in answered
    ]
    if len(runs) < CLIENTS * (1 + BEHIND):
        raise RuntimeError('not all requests were run')
    lines = [
        f'sent {len(sent)}, run {len(runs)}, answered {len(answered)}',
        f'quick requests that a backend answered and their client did not '
        f'get: {len(lost)}',
    ]
    return lines, bool(lost)


if __name__ == '__main__':
    frame.main(play, judge, __file__)
