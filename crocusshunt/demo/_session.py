"""Steps of the demonstration session."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

import aiohttp
import msgspec

from crocusshunt.client import OperatorClient, Proposal
from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.demo._fleet import Fleet
from crocusshunt.keys import Key, KeyState
from crocusshunt.routing import Access, Customer, Route, Server, ServerState
from crocusshunt.standin import ReceivedRequest

_ROLLOUT_TIMEOUT_S = 15
_WITHDRAWAL_TIMEOUT_S = 5
_POLL_S = 0.05
_DRAIN_REQUESTS = 40


@dataclass(frozen=True, slots=True)
class Step:
    """Result of one step of the session.

    :param name: short name of the step.
    :param detail: what was observed; the same text in every successful run.
    :param passed: whether the step showed the expected behaviour.
    """

    name: str
    detail: str
    passed: bool

    def describe(self) -> str:
        """Return the line that the demonstration prints."""
        status = 'ok' if self.passed else 'FAILED'
        return f'{status:6} {self.name}: {self.detail}'


@dataclass(frozen=True, slots=True)
class _Context:
    fleet: Fleet
    callers: aiohttp.ClientSession
    operators: OperatorClient

    @property
    def customer(self) -> str:
        return self.fleet.tables.select(Customer)[0].name

    @property
    def route(self) -> Route:
        return next(
            route
            for route in self.fleet.tables.select(Route)
            if route.access is Access.keyed and route.idempotent
        )

    @property
    def headers(self) -> dict[str, str]:
        return {'X-Api-Key': self.fleet.keys[self.customer]}

    def create_url(self, position: int = 0) -> str:
        gateway = self.fleet.hosts[position].gateway.url
        return f'{gateway}{self.route.path_prefix}/42?page=1'


_StepFunction = Callable[[_Context], Awaitable[Step]]
_STEPS: list[_StepFunction] = []


def _register_step(function: _StepFunction) -> _StepFunction:
    _STEPS.append(function)
    return function


async def run_session(fleet: Fleet) -> AsyncIterator[Step]:
    """Run every step in order against a started fleet.

    A step that observes wrong behaviour does not raise; it is returned with
    ``passed`` false.

    :param fleet: the started fleet.
    """
    operators = fleet.create_client()
    async with aiohttp.ClientSession() as callers:
        context = _Context(fleet, callers, operators)
        for run_step in _STEPS:
            yield await run_step(context)
    await operators.close()


@_register_step
async def _wait_for_tables(context: _Context) -> Step:
    is_in_force = await _wait_for(
        lambda: all(
            host.gateway.feed.configuration.revision > 0
            and host.locator.hosts.hosts
            for host in context.fleet.hosts
        ),
        _ROLLOUT_TIMEOUT_S,
    )
    count = len(context.fleet.hosts)
    return Step('tables', f'in force on {count} hosts', is_in_force)


@_register_step
async def _look_up(context: _Context) -> Step:
    url = f'{context.fleet.hosts[0].locator.url}/v1/lookup'
    async with context.callers.get(url) as response:
        answer = await response.json()
    regions = {host['region'] for host in answer['hosts'][:2]}
    domains = {host['failure_domain'] for host in answer['hosts'][:2]}
    detail = f'nearest region {sorted(regions)}, domains {sorted(domains)}'
    return Step('locator', detail, len(regions) == 1 and len(domains) == 2)


@_register_step
async def _call_with_key(context: _Context) -> Step:
    url = context.create_url()
    async with context.callers.get(url, headers=context.headers) as response:
        received = msgspec.json.decode(
            await response.read(),
            type=ReceivedRequest,
        )
    key = context.fleet.keys[context.customer]
    received_text = msgspec.json.encode(received).decode()
    detail = f'backend server saw customer {received.customer} and no key'
    passed = received.customer == context.customer and key not in received_text
    return Step('keyed request', detail, passed)


@_register_step
async def _call_without_key(context: _Context) -> Step:
    url = context.create_url()
    async with context.callers.get(url) as response:
        problem = await response.json()
    detail = f'{problem["status"]} {problem["title"]}, {problem["outcome"]}'
    return Step('no key', detail, problem['outcome'] == 'not_run')


@_register_step
async def _drain_server(context: _Context) -> Step:
    pool = context.route.pool
    servers = context.fleet.tables.select(Server)
    server = next(row for row in servers if row.pool == pool)
    drained = replace(server, state=ServerState.draining)
    await _apply_change(context, 'drain', 'server', drained)
    await _wait_for(
        lambda: _is_in_force_on_all_hosts(context, 2), _ROLLOUT_TIMEOUT_S
    )
    answers = [await _send_request(context) for _ in range(_DRAIN_REQUESTS)]
    refused = sum(status != 200 for status, _received in answers)
    requests_to_drained = sum(
        received.get('server') == server.name for _status, received in answers
    )
    detail = (
        f'{refused} refused, '
        f'{requests_to_drained} requests to the drained server'
    )
    return Step('drain', detail, refused == 0 and requests_to_drained == 0)


@_register_step
async def _withdraw_key(context: _Context) -> Step:
    before, _answer = await _send_request(context)
    key = context.fleet.keys[context.customer]
    tables = context.fleet.hosts[0].gateway.feed.configuration.tables
    row = tables.find(Key, context.customer)
    assert row is not None and key  # noqa: S101, PT018
    withdrawn = replace(row, state=KeyState.withdrawn)
    await _apply_change(context, 'withdraw', 'key', withdrawn)
    refused = await _poll(lambda: _is_refused(context), _WITHDRAWAL_TIMEOUT_S)
    detail = f'honoured before: {before == 200}; refused within 5 s: {refused}'
    return Step('key withdrawn', detail, before == 200 and refused)


async def _send_request(context: _Context) -> tuple[int, dict[str, Any]]:
    url = context.create_url()
    async with context.callers.get(url, headers=context.headers) as response:
        return response.status, await response.json()


async def _is_refused(context: _Context) -> bool:
    status, _answer = await _send_request(context)
    return status == 401


async def _apply_change(
    context: _Context, name: str, table: str, row: Any
) -> None:
    snapshot = (await context.operators.get_snapshot()).unwrap()
    edit = EditRequest(table, row.name, encode_row(row))
    proposal = Proposal(f'demo-{name}', snapshot.revision, name, (edit,))
    (await context.operators.propose(proposal)).unwrap()


def _is_in_force_on_all_hosts(context: _Context, revision: int) -> bool:
    return all(
        host.gateway.feed.configuration.revision >= revision
        for host in context.fleet.hosts
    )


async def _wait_for(predicate: Callable[[], bool], seconds: float) -> bool:
    async def probe() -> bool:
        return predicate()

    return await _poll(probe, seconds)


async def _poll(
    predicate: Callable[[], Awaitable[bool]],
    seconds: float,
) -> bool:
    for _ in range(int(seconds / _POLL_S)):
        if await predicate():
            return True
        await asyncio.sleep(_POLL_S)
    return False
