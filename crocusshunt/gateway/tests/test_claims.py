"""Claimed requests run at most once, despite faults and several hosts."""

import asyncio

import aiohttp
import pytest
from result import Err, Ok

from crocusshunt.core import ManualClock
from crocusshunt.delivery import (
    Claimant,
    ClaimState,
    NotRun,
    RecordedAnswer,
    UnknownOutcome,
)
from crocusshunt.gateway._claiming import (
    CLAIM_LIFETIME_S,
    ClaimLedger,
    ClaimRequest,
)
from crocusshunt.gateway._sweeping import ClaimSweeper
from crocusshunt.gateway.tests.site import BAR_KEY, run_site
from crocusshunt.standin import Fault, MemoryPlatform
from crocusshunt.store import Query


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(epoch=1000)


@pytest.fixture
def store() -> MemoryPlatform:
    return MemoryPlatform()


def _create_ledger(
    store: MemoryPlatform, clock: ManualClock, host: str
) -> ClaimLedger:
    return ClaimLedger(store, clock, Claimant(host, f'process-{host}', ''))


def _create_request(attempt: str, fingerprint: str = 'f1') -> ClaimRequest:
    return ClaimRequest('court', 'k1', fingerprint, attempt, deadline=10)


async def test_other_host_sees_in_progress_then_unknown_outcome(
    store: MemoryPlatform, clock: ManualClock
) -> None:
    await _create_ledger(store, clock, 'h1').claim(_create_request('r1'))
    other = _create_ledger(store, clock, 'h2')
    early = (await other.claim(_create_request('r2'))).unwrap_err()
    assert isinstance(early, UnknownOutcome)
    assert early.code == 'request-in-progress'
    clock.epoch += 16
    late = (await other.claim(_create_request('r2'))).unwrap_err()
    assert isinstance(late, UnknownOutcome)
    assert late.code == 'outcome-unknown'


async def test_insert_with_lost_answer_is_recognised_as_own(
    store: MemoryPlatform, clock: ManualClock
) -> None:
    store.switches.lost_answers = 1
    claimed = await _create_ledger(store, clock, 'h1').claim(
        _create_request('r1')
    )
    assert claimed.unwrap().version == 1
    # Another request with the same key at the same host is not the holder.
    again = await _create_ledger(store, clock, 'h1').claim(
        _create_request('r2')
    )
    assert isinstance(again, Err)


async def test_released_claim_is_free_and_delayed_release_harmless(
    store: MemoryPlatform, clock: ManualClock
) -> None:
    first_ledger, second_ledger = (
        _create_ledger(store, clock, 'h1'),
        _create_ledger(store, clock, 'h2'),
    )
    held = (await first_ledger.claim(_create_request('r1'))).unwrap()
    store.switches.lost_answers = 1
    await first_ledger.record(held, ClaimState.released)
    second = (await second_ledger.claim(_create_request('r2'))).unwrap()
    await first_ledger.record(held, ClaimState.released)
    third = await second_ledger.claim(_create_request('r3'))
    assert isinstance(third, Err)
    await second_ledger.record(
        second, ClaimState.answered, RecordedAnswer(201, 'text/plain', b'x')
    )
    repeat = (await first_ledger.claim(_create_request('r4'))).unwrap_err()
    assert repeat == RecordedAnswer(201, 'text/plain', b'x')


async def test_expired_key_is_free_only_after_its_lifetime(
    store: MemoryPlatform, clock: ManualClock
) -> None:
    await _create_ledger(store, clock, 'h1').claim(_create_request('r1'))
    other = _create_ledger(store, clock, 'h2')
    clock.epoch += CLAIM_LIFETIME_S
    assert isinstance(await other.claim(_create_request('r2')), Err)
    clock.epoch += 61
    assert isinstance(await other.claim(_create_request('r2')), Ok)


async def test_sweeper_removes_only_what_expired_long_ago(
    store: MemoryPlatform, clock: ManualClock
) -> None:
    await _create_ledger(store, clock, 'h1').claim(_create_request('r1'))
    sweeper = ClaimSweeper(store, clock)
    clock.epoch += CLAIM_LIFETIME_S * 2
    await sweeper.sweep()
    assert (await store.query(Query('claim'))).unwrap()
    clock.epoch += 1
    await sweeper.sweep()
    assert not (await store.query(Query('claim'))).unwrap()


async def test_claim_after_the_deadline_is_not_inserted(
    store: MemoryPlatform, clock: ManualClock
) -> None:
    clock.advance(10)
    late = await _create_ledger(store, clock, 'h1').claim(_create_request('r1'))
    assert isinstance(late.unwrap_err(), NotRun)
    assert (await store.read('claim', '')).unwrap() is None
    assert store.calls == 1


async def test_withdrawn_claim_lets_the_repeat_run(
    store: MemoryPlatform,
    clock: ManualClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        'crocusshunt.gateway._claiming._WITHDRAW_PAUSES_S', (0,)
    )
    ledger = _create_ledger(store, clock, 'h1')
    await ledger.claim(_create_request('r1'))
    await ledger.withdraw(_create_request('r1'))
    assert isinstance(await ledger.claim(_create_request('r2')), Ok)


async def test_repeat_at_another_host_gets_the_recorded_answer() -> None:
    async with run_site(gateways=2) as site:
        answers = []
        for gateway in (0, 1):
            async with site.request(
                'POST',
                '/ledger/7',
                idempotency_key='k1',
                body=b'sanction',
                gateway=gateway,
            ) as answer:
                answers.append((answer.status, await answer.read()))
            await _wait_until_recorded(site.gateways[0])
        async with site.request(
            'POST', '/ledger/7', idempotency_key='k1', body=b'other'
        ) as answer:
            conflict = await answer.json()
        async with site.request(
            'POST', '/ledger/7', idempotency_key='k1', key=BAR_KEY
        ) as answer:
            assert answer.status == 200
    assert answers[0] == answers[1]
    assert answers[0][0] == 200
    assert conflict['type'].endswith('idempotency-key-reused')
    assert conflict['outcome'] == 'not_run'
    assert sum(site.runs.runs.values()) == 2


@pytest.mark.parametrize(
    'fault', [Fault.die_before, Fault.die_during, Fault.hang]
)
async def test_request_with_lost_answer_never_runs_twice(fault: Fault) -> None:
    async with run_site(gateways=2) as site:
        outcomes = []
        path = f'/ledger/7?fault={fault.value}'
        for gateway in (0, 1, 0):
            try:
                async with site.request(
                    'POST', path, idempotency_key='k1', gateway=gateway
                ) as answer:
                    outcomes.append((await answer.json())['outcome'])
            except aiohttp.ClientError:
                outcomes.append('broken')
            await _wait_until_recorded(site.gateways[0])
    assert sum(site.runs.runs.values()) == 1
    assert 'not_run' not in outcomes


async def test_concurrent_repeats_run_once() -> None:
    async with run_site(gateways=2) as site:

        async def send(number: int) -> int:
            async with site.request(
                'POST',
                '/ledger/7?sleep_ms=100',
                idempotency_key='k1',
                gateway=number % 2,
            ) as answer:
                return answer.status

        statuses = await asyncio.gather(*(send(number) for number in range(8)))
    assert sum(site.runs.runs.values()) == 1
    assert sorted(statuses) == [200, *(409 for _ in range(7))]


async def test_store_down_refuses_keyed_writes_and_nothing_else() -> None:
    async with run_site() as site:
        site.platform.platform.switches.is_down = True
        async with site.request(
            'POST', '/ledger/7', idempotency_key='k1'
        ) as answer:
            refused = await answer.json()
            assert answer.headers['Retry-After'] == '2'
        assert refused['outcome'] == 'not_run'
        assert not site.runs.runs
        async with site.request('GET', '/verify/1') as answer:
            assert answer.status == 200


async def _wait_until_recorded(gateway: object) -> None:
    while getattr(gateway, 'in_flight', 0):
        await asyncio.sleep(0.01)
