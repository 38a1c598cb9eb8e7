"""The host that keeps a tenant's tokens turns slow."""

import asyncio
import signal

from crocusshunt.core import rank_by_rendezvous
from review.standins import allotment
from review.standins import case as frame

SLOW_S = 5.5
SLOW_TIMES = 3.0
# A core's share is an allotment for each tenth of a second.
PERIOD_S = 0.1
ZONES = {
    f'{region}-{part}': region
    for region in ('addis', 'dire', 'bahir')
    for part in 'ab'
}
HOST_ZONES = (*ZONES, 'addis-a', 'addis-b', 'dire-a', 'bahir-a')
REGION = 'addis'
KEY = 'kept0wsnjbanfqasnmgk'
TENANT, RATE, BURST = 'court', 45, 10
# Requests a second at each host of the region.
OFFERED = 60


async def play(case):
    manifest = 12, [
        frame.route('read', 'verify', '/read/'),
        frame.tenant(TENANT, [KEY], RATE, BURST),
        frame.service('verify'),
    ]
    backends = [(f'i-{zone}', 'verify', zone, {}) for zone in ZONES]
    await case.start(ZONES, HOST_ZONES, manifest, backends)
    traffic = asyncio.create_task(_send_steadily(case))
    await asyncio.sleep(8)
    keeper = find_keeper(case)
    case.record.note('slow', host=keeper.name)
    if case.has_trouble:
        await _slow_down(keeper)
    else:
        await asyncio.sleep(SLOW_S)
    case.record.note('fast again')
    await asyncio.sleep(5)
    traffic.cancel()
    await asyncio.sleep(1)


def list_region(case):
    return [host for host in case.hosts if ZONES[host.zone] == REGION]


def find_keeper(case):
    """Return the host that keeps the tenant's tokens for the region."""
    hosts = {host.name: host for host in list_region(case)}
    return hosts[rank_by_rendezvous(TENANT, hosts)[0]]


async def _slow_down(host):
    loop = asyncio.get_running_loop()
    until = loop.time() + SLOW_S
    due = loop.time()
    try:
        while loop.time() < until:
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(
                max(0, due + PERIOD_S * (1 - 1 / SLOW_TIMES) - loop.time())
            )
            host.signal(signal.SIGCONT)
            due += PERIOD_S
            await asyncio.sleep(max(0, due - loop.time()))
    finally:
        host.signal(signal.SIGCONT)


async def _send_steadily(case):
    loop = asyncio.get_running_loop()
    due = loop.time()
    while True:
        for host in list_region(case):
            case.client.send_soon(host.front, '/read/1', KEY)
        due += 1 / OFFERED
        await asyncio.sleep(max(0, due - loop.time()))


def judge(case):
    fullest, begin = allotment.find_fullest(case.record, TENANT)
    limit = allotment.find_limit(RATE, BURST)
    answers = case.record.select('answered')
    served = sum(one['sealed'] for one in answers)
    if served < 300:
        raise RuntimeError('too few requests were served')
    rates = allotment.list_rates(case.record, TENANT)
    lines = [
        f'sent {len(answers)}, served {served}',
        f'run by second: {rates}',
        f'fullest window: {fullest} from {begin:.1f} s, limit {limit:.0f}',
    ]
    return lines, fullest > limit


if __name__ == '__main__':
    frame.main(play, judge, __file__)
