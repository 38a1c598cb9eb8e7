"""Two zones of a region can't reach each other; one tenant asks too much."""

import asyncio

from review.standins import allotment
from review.standins import case as frame

CUT_S = 5.5
ZONES = {
    f'{region}-{part}': region
    for region in ('addis', 'dire', 'bahir')
    for part in 'ab'
}
HOST_ZONES = (*ZONES, 'dire-a', 'dire-b', 'bahir-a', 'bahir-b')
BACKEND_ZONES = ('dire-a', 'dire-b', 'bahir-a', 'bahir-b')
KEY = 'kept0wsnjbanfqasnmgk'
TENANT, RATE, BURST = 'court', 160, 20
# Requests a second at each of the two hosts in addis.
OFFERED = 220


async def play(case):
    manifest = 12, [
        frame.route('read', 'verify', '/read/'),
        frame.tenant(TENANT, [KEY], RATE, BURST),
        frame.service('verify'),
    ]
    backends = [(f'i-{zone}', 'verify', zone, {}) for zone in BACKEND_ZONES]
    await case.start(ZONES, HOST_ZONES, manifest, backends, has_links=True)
    traffic = asyncio.create_task(_send_steadily(case))
    await asyncio.sleep(12)
    if case.has_trouble:
        case.record.note('cut', zones=['addis-a', 'addis-b'])
        case.links.cut_zones('addis-a', 'addis-b')
    await asyncio.sleep(CUT_S)
    case.links.cut = set()
    case.record.note('healed')
    await asyncio.sleep(6)
    traffic.cancel()
    await asyncio.sleep(1)


async def _send_steadily(case):
    loop = asyncio.get_running_loop()
    due = loop.time()
    while True:
        for host in case.hosts[:2]:
            case.client.send_soon(host.front, '/read/1', KEY)
        due += 1 / OFFERED
        await asyncio.sleep(max(0, due - loop.time()))


def judge(case):
    fullest, begin = allotment.find_fullest(case.record, TENANT)
    limit = allotment.find_limit(RATE, BURST)
    answers = case.record.select('answered')
    served = sum(one['sealed'] for one in answers)
    if served < 500:
        raise RuntimeError('too few requests were served')
    rates = allotment.list_rates(case.record, TENANT)
    lines = [
        f'sent {len(answers)}, served {served}',
        f'run by second: {rates}',
        f'channels between hosts: {case.links.channels}',
        f'fullest window: {fullest} from {begin:.1f} s, limit {limit:.0f}',
    ]
    return lines, fullest > limit


if __name__ == '__main__':
    frame.main(play, judge, __file__)
