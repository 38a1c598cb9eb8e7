"""Kills, pauses and outages of separate processes."""

import asyncio
import signal

from crocusshunt.keys import Key, KeyState, digest_key
from crocusshunt.programs.tests.site import (
    CALLER_KEY,
    GIVE_UP_S,
    STATUS_OK,
    Answer,
    Site,
    poll,
)
from crocusshunt.routing import Customer
from crocusshunt.standin import PlatformSwitches

_STATUS_UNAUTHORIZED = 401
_WITHDRAWN = Key(
    'court',
    'court',
    digest_key(CALLER_KEY),
    KeyState.withdrawn,
)


async def test_killed_controller_comes_back_with_the_configuration(
    site: Site,
) -> None:
    await site.call_until(_is_answered)
    site.kill('controller')
    await site.call_until(_is_not_run)
    site.start('controller')
    await site.call_until(_is_answered)


async def test_killed_gateway_comes_back_with_the_configuration(
    site: Site,
) -> None:
    await site.call_until(_is_answered)
    site.kill('gateway')
    site.start('gateway')
    await site.wait_until_up('gateway')
    await site.call_until(_is_answered)


async def test_paused_controller_honours_no_withdrawn_key(site: Site) -> None:
    await site.call_until(_is_answered)
    site.send_signal('controller', signal.SIGSTOP)
    accepted = await site.propose('withdraw', 1, _WITHDRAWN)
    assert accepted.unwrap().revision == 2
    await site.call_until(_is_without_evidence)
    statuses = {(await site.call()).status for _ in range(20)}
    assert STATUS_OK not in statuses
    site.send_signal('controller', signal.SIGCONT)
    await site.call_until(_is_unauthorized)


async def test_paused_gateway_honours_no_withdrawn_key(site: Site) -> None:
    await site.call_until(_is_answered)
    site.send_signal('gateway', signal.SIGSTOP)
    first = asyncio.create_task(site.call())
    accepted = await site.propose('withdraw', 1, _WITHDRAWN)
    assert accepted.unwrap().revision == 2
    await asyncio.sleep(5)
    site.send_signal('gateway', signal.SIGCONT)
    answer = await first
    assert answer.status != STATUS_OK
    assert _is_not_run(answer)


async def test_planned_stop_cuts_no_request(site: Site) -> None:
    await site.call_until(_is_answered)
    slow = [
        asyncio.create_task(site.call('/verify/1?sleep_ms=1000'))
        for _ in range(4)
    ]
    await asyncio.sleep(0.3)
    site.send_signal('gateway', signal.SIGTERM)
    answers = await asyncio.gather(*slow)
    assert {answer.status for answer in answers} == {STATUS_OK}
    assert site.processes['gateway'].wait(GIVE_UP_S) == 0


async def test_leaving_or_dead_gateway_is_not_looked_up(site: Site) -> None:
    await site.call_until(_is_answered)
    await poll(lambda: _look_up(site), _is_answered)
    site.kill('gateway')
    await poll(lambda: _look_up(site), _is_without_hosts)
    site.start('gateway')
    await poll(lambda: _look_up(site), _is_answered)
    site.send_signal('gateway', signal.SIGTERM)
    await poll(lambda: _look_up(site), _is_without_hosts)


async def test_change_during_an_outage_is_not_lost_nor_doubled(
    site: Site,
) -> None:
    await site.set_switches(PlatformSwitches(is_down=True))
    refused = await site.propose('later', 1, Customer('bar', rate=1, burst=1))
    assert refused.is_err()
    await site.set_switches(PlatformSwitches())
    accepted = await poll(
        lambda: site.propose('later', 1, Customer('bar', rate=1, burst=1)),
        lambda outcome: outcome.is_ok(),
    )
    assert accepted.unwrap().revision == 2
    repeated = await site.propose('later', 1, Customer('bar', rate=1, burst=1))
    assert repeated.unwrap().revision == 2


async def test_lost_answer_of_the_store_is_resolved(site: Site) -> None:
    await site.set_switches(
        PlatformSwitches(lost_answers=1, lost_table='configuration-head'),
    )
    accepted = await site.propose('lost', 1, Customer('bar', rate=1, burst=1))
    assert accepted.unwrap().revision == 2


async def test_racing_operators_get_a_conflict(site: Site) -> None:
    outcomes = await asyncio.gather(
        site.propose('left', 1, Customer('bar', rate=1, burst=1)),
        site.propose('right', 1, Customer('bar', rate=2, burst=2)),
    )
    assert sorted(outcome.is_ok() for outcome in outcomes) == [False, True]
    loser = next(one for one in outcomes if one.is_err()).unwrap_err()
    assert 'revision-conflict' in loser.describe()


async def _look_up(site: Site) -> Answer:
    async with site.session.get(f'{site.url("locator")}/v1/lookup') as found:
        return Answer(found.status, await found.json())


def _is_without_hosts(answer: Answer) -> bool:
    return answer.document.get('code') == 'no-hosts'


def _is_answered(answer: Answer) -> bool:
    return answer.status == STATUS_OK


def _is_not_run(answer: Answer) -> bool:
    return answer.document.get('outcome') == 'not_run'


def _is_without_evidence(answer: Answer) -> bool:
    return str(answer.document.get('type')).endswith('key-evidence-stale')


def _is_unauthorized(answer: Answer) -> bool:
    return answer.status == _STATUS_UNAUTHORIZED
