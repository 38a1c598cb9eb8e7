"""A foreign entry that can't be read, then a service and a route are added."""

import asyncio

from review.standins import case as frame

CONFIG_APPLY_S = 2.5
ZONES = {'addis-a': 'addis', 'addis-b': 'addis', 'dire-a': 'dire'}
HOST_ZONES = ('addis-a', 'addis-b', 'dire-a')
KEY = 'kept0wsnjbanfqasnmgk'
# 2,016 bytes that are no JSON document; a row may have 65,536.
UNREADABLE = b'{"entry":"x","":' + b'[' * 2000


def describe(version, has_added):
    resources = [
        frame.route('first', 'verify', '/first/'),
        frame.tenant('court', [KEY]),
        frame.service('verify'),
    ]
    if has_added:
        resources += [
            frame.route('added', 'renew', '/added/'),
            frame.service('renew'),
        ]
    return version, resources


async def play(case):
    backends = [(f'i-verify-{zone}', 'verify', zone, {}) for zone in ZONES]
    await case.start(ZONES, HOST_ZONES, describe(12, False), backends)
    traffic = asyncio.create_task(_send_steadily(case))
    await asyncio.sleep(3)
    if case.has_trouble:
        acked = case.store.put('servers', 'foreign', UNREADABLE)
        case.record.note('foreign entry', ver=acked)
    await asyncio.sleep(5)
    for zone in ZONES:
        await case.add_backend(f'i-renew-{zone}', 'renew', zone)
    case.record.note('backends added', service='renew')
    await asyncio.sleep(3)
    case.write_manifest(describe(15, True))
    case.acked_at = case.record.now
    await asyncio.sleep(15)
    traffic.cancel()
    await asyncio.sleep(1)


async def _send_steadily(case):
    while True:
        is_added = case.record.now > getattr(case, 'acked_at', float('inf'))
        for host in case.hosts:
            case.client.send_soon(host.front, '/first/1', KEY, label='first')
            if is_added:
                case.client.send_soon(
                    host.front, '/added/1', KEY, label='added'
                )
        await asyncio.sleep(0.2)


def judge(case):
    start = case.acked_at + CONFIG_APPLY_S
    sent = {one['id']: one for one in case.record.select('sent')}
    answers = [
        one
        for one in case.record.select('answered')
        if sent[one['id']]['t'] > start
    ]
    shares, lines = {}, []
    for label in ('first', 'added'):
        found = [one for one in answers if one['label'] == label]
        served = [one for one in found if one['sealed']]
        if len(found) < 20:
            raise RuntimeError('too few requests were answered')
        shares[label] = len(served) / len(found)
        statuses = sorted({one['status'] for one in found})
        lines.append(
            f'{label}: {len(served)} of {len(found)} served, '
            f'statuses {statuses}'
        )
    if shares['first'] < 0.5:
        raise RuntimeError('the first route is not served')
    return lines, shares['added'] < shares['first'] / 4


if __name__ == '__main__':
    frame.main(play, judge, __file__)
