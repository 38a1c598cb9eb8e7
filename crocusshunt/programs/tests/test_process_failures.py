"""Killed and paused processes, and outages of the store."""

import asyncio
import signal

from crocusshunt.keys import Key, KeyState, digest_key
from crocusshunt.programs.tests.deployment import (
    CALLER_KEY,
    STATUS_OK,
    TIMEOUT_S,
    Answer,
    LocalDeployment,
    poll,
)
from crocusshunt.routing import Customer
from crocusshunt.standin import PlatformSwitches

_STATUS_UNAUTHORIZED = 401
_WITHDRAWN_KEY = Key(
    'court',
    'court',
    digest_key(CALLER_KEY),
    KeyState.withdrawn,
)


async def test_killed_controller_recovers_the_configuration(
    deployment: LocalDeployment,
) -> None:
    await deployment.call_until(_is_ok)
    deployment.kill('controller')
    await deployment.call_until(_is_not_executed)
    deployment.start('controller')
    await deployment.call_until(_is_ok)


async def test_killed_gateway_recovers_the_configuration(
    deployment: LocalDeployment,
) -> None:
    await deployment.call_until(_is_ok)
    deployment.kill('gateway')
    deployment.start('gateway')
    await deployment.wait_until_up('gateway')
    await deployment.call_until(_is_ok)


async def test_paused_controller_accepts_no_withdrawn_key(
    deployment: LocalDeployment,
) -> None:
    await deployment.call_until(_is_ok)
    deployment.send_signal('controller', signal.SIGSTOP)
    accepted = await deployment.propose('withdraw', 1, _WITHDRAWN_KEY)
    assert accepted.unwrap().revision == 2
    await deployment.call_until(_is_key_evidence_stale)
    statuses = {(await deployment.call()).status for _ in range(20)}
    assert STATUS_OK not in statuses
    deployment.send_signal('controller', signal.SIGCONT)
    await deployment.call_until(_is_unauthorized)


async def test_paused_gateway_accepts_no_withdrawn_key(
    deployment: LocalDeployment,
) -> None:
    await deployment.call_until(_is_ok)
    deployment.send_signal('gateway', signal.SIGSTOP)
    first = asyncio.create_task(deployment.call())
    accepted = await deployment.propose('withdraw', 1, _WITHDRAWN_KEY)
    assert accepted.unwrap().revision == 2
    await asyncio.sleep(5)
    deployment.send_signal('gateway', signal.SIGCONT)
    answer = await first
    assert answer.status != STATUS_OK
    assert _is_not_executed(answer)


async def test_graceful_stop_finishes_running_requests(
    deployment: LocalDeployment,
) -> None:
    await deployment.call_until(_is_ok)
    slow = [
        asyncio.create_task(deployment.call('/verify/1?sleep_ms=1000'))
        for _ in range(4)
    ]
    await asyncio.sleep(0.3)
    deployment.send_signal('gateway', signal.SIGTERM)
    answers = await asyncio.gather(*slow)
    assert {answer.status for answer in answers} == {STATUS_OK}
    assert deployment.processes['gateway'].wait(TIMEOUT_S) == 0


async def test_locator_omits_stopping_or_killed_gateway(
    deployment: LocalDeployment,
) -> None:
    await deployment.call_until(_is_ok)
    await poll(lambda: _look_up_hosts(deployment), _is_ok)
    deployment.kill('gateway')
    await poll(lambda: _look_up_hosts(deployment), _has_no_hosts)
    deployment.start('gateway')
    await poll(lambda: _look_up_hosts(deployment), _is_ok)
    deployment.send_signal('gateway', signal.SIGTERM)
    await poll(lambda: _look_up_hosts(deployment), _has_no_hosts)


async def test_change_retried_after_outage_is_applied_once(
    deployment: LocalDeployment,
) -> None:
    await deployment.set_switches(PlatformSwitches(is_down=True))
    refused = await deployment.propose(
        'later', 1, Customer('bar', rate=1, burst=1)
    )
    assert refused.is_err()
    await deployment.set_switches(PlatformSwitches())
    accepted = await poll(
        lambda: deployment.propose(
            'later', 1, Customer('bar', rate=1, burst=1)
        ),
        lambda outcome: outcome.is_ok(),
    )
    assert accepted.unwrap().revision == 2
    repeated = await deployment.propose(
        'later', 1, Customer('bar', rate=1, burst=1)
    )
    assert repeated.unwrap().revision == 2


async def test_lost_store_response_is_resolved(
    deployment: LocalDeployment,
) -> None:
    await deployment.set_switches(
        PlatformSwitches(lost_answers=1, lost_table='configuration-head'),
    )
    accepted = await deployment.propose(
        'lost', 1, Customer('bar', rate=1, burst=1)
    )
    assert accepted.unwrap().revision == 2


async def test_concurrent_changes_conflict(deployment: LocalDeployment) -> None:
    outcomes = await asyncio.gather(
        deployment.propose('left', 1, Customer('bar', rate=1, burst=1)),
        deployment.propose('right', 1, Customer('bar', rate=2, burst=2)),
    )
    assert sorted(outcome.is_ok() for outcome in outcomes) == [False, True]
    rejection = next(
        outcome for outcome in outcomes if outcome.is_err()
    ).unwrap_err()
    assert 'revision-conflict' in rejection.describe()


async def _look_up_hosts(deployment: LocalDeployment) -> Answer:
    async with deployment.session.get(
        f'{deployment.format_url("locator")}/v1/lookup'
    ) as response:
        return Answer(response.status, await response.json())


def _has_no_hosts(answer: Answer) -> bool:
    return answer.document.get('code') == 'no-hosts'


def _is_ok(answer: Answer) -> bool:
    return answer.status == STATUS_OK


def _is_not_executed(answer: Answer) -> bool:
    return answer.document.get('outcome') == 'not_run'


def _is_key_evidence_stale(answer: Answer) -> bool:
    return str(answer.document.get('type')).endswith('key-evidence-stale')


def _is_unauthorized(answer: Answer) -> bool:
    return answer.status == _STATUS_UNAUTHORIZED
