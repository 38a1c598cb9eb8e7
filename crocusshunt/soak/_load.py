"""Generator of calls, whose connections stay open until the host is gone."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from crocusshunt.platform import SOURCE_FORMAT
from crocusshunt.soak._configuration_checks import IN_FORCE_S
from crocusshunt.soak._pipelined import (
    RawResponse,
    encode_get,
    exchange_pipelined,
)
from crocusshunt.soak._processes import HostProcess
from crocusshunt.soak._records import Call, CallOutcome, Records
from crocusshunt.soak._servers import build_response_text

_HEADERS = SOURCE_FORMAT.headers
_DEADLINE_S = 3
_STATUS_OK = 200
# With these a host states that it did not run the request.
_REFUSAL_STATUSES = frozenset((408, 421, 429, 503))
_IDEMPOTENT_SHARE = 0.5
_AFFINITY_KEYS = 30
# Share of the idempotent calls that are sent in a group on one connection.
_PIPELINED_SHARE = 0.2
_GROUP_COUNT = 3
# Share of the calls of a customer that sends many times its usual.
_RUSH_SHARE = 0.75
# Share of the idempotent calls that crash servers, while there are such calls.
_CRASH_SHARE = 0.2
# Between calls of an added route to two hosts, so that they are no burst that
# the servers have to turn away.
_ROUTE_CALL_SPACING_S = 0.005


@dataclass(frozen=True, slots=True)
class RouteCalls:
    """Calls of a route that was added, one to each host.

    :param added_at: monotonic time at which the store acknowledged it, in
        seconds.
    """

    prefix: str
    added_at: float

    def is_due(self) -> bool:
        """Tell whether each host must serve the route by now."""
        return time.monotonic() >= self.added_at + IN_FORCE_S


@dataclass(slots=True)
class CallMix:
    """What is special about the calls that are sent now.

    :param key: API key of a customer that may send more than its part.
    :param rushes: times in which it does so and that are not over yet.
    :param crash_paths: paths of calls that crash servers and are repeated.
    :param route_calls: calls of added routes that are to be sent, by time.
    """

    key: str = ''
    rushes: int = 0
    crash_paths: list[str] = field(default_factory=list)
    route_calls: list[RouteCalls] = field(default_factory=list)


@dataclass(slots=True)
class LoadGenerator:
    """Sends calls at random times to random hosts that have been ready.

    The times between calls are exponentially distributed.

    :param records: where calls and their outcomes are recorded.
    :param keys: API keys that callers use, including withdrawn ones.
    :param until: monotonic time in seconds until which calls are sent; it may
        be moved while they are.
    """

    records: Records
    hosts: list[HostProcess]
    keys: tuple[str, ...]
    rng: random.Random
    mix: CallMix = field(default_factory=CallMix)
    until: float = float('inf')
    _session: ClientSession | None = None
    _sent_calls: int = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, calls_per_s: float) -> None:
        """Send calls until their time is over, and wait for the responses.

        :param calls_per_s: mean rate in calls a second.
        """
        timeout = ClientTimeout(total=_DEADLINE_S + 1)
        connector = TCPConnector(limit=0)
        async with ClientSession(
            timeout=timeout,
            connector=connector,
        ) as session:
            self._session = session
            while time.monotonic() < self.until:
                self._start_call()
                self._start_route_calls()
                await asyncio.sleep(self.rng.expovariate(calls_per_s))
            await asyncio.gather(*self._tasks)

    def _start_call(self) -> None:
        call = self._create_call(
            self.rng.choice(self.hosts).name,
            is_idempotent=self.rng.random() < _IDEMPOTENT_SHARE,
        )
        if call.is_idempotent and self.rng.random() < _PIPELINED_SHARE:
            group = [call]
            while len(group) < _GROUP_COUNT:
                group.append(self._create_call(call.host, is_idempotent=True))
            self._start_task(self._send_group(group))
        else:
            self._start_task(self._send(call))

    def _start_route_calls(self) -> None:
        """Call the routes that each host must serve by now."""
        waiting = self.mix.route_calls
        while waiting and waiting[0].is_due():
            due = waiting.pop(0)
            hosts = self.rng.sample(self.hosts, len(self.hosts))
            for number, host in enumerate(hosts):
                wait_s = number * _ROUTE_CALL_SPACING_S
                self._start_task(self._call_route(host.name, due, wait_s))

    async def _call_route(
        self, host: str, due: RouteCalls, wait_s: float
    ) -> None:
        await asyncio.sleep(wait_s)
        call = self._create_call(host, is_idempotent=True)
        call.prefix = due.prefix
        call.added_at = due.added_at
        call.path = 'x'
        call.key = self.keys[-2]
        await self._send(call)

    def _create_call(self, host: str, *, is_idempotent: bool) -> Call:
        self._sent_calls += 1
        call = Call(
            request_id=f'call-{self._sent_calls}',
            host=host,
            key=self._choose_key(),
            is_idempotent=is_idempotent,
            sent_at=time.monotonic(),
        )
        crash_paths = self.mix.crash_paths
        if is_idempotent and crash_paths and self.rng.random() < _CRASH_SHARE:
            call.path = self.rng.choice(crash_paths)
            call.key = self.keys[-2]
        self.records.calls.append(call)
        return call

    def _choose_key(self) -> str:
        is_rush = self.mix.rushes > 0
        if is_rush and self.rng.random() < _RUSH_SHARE:
            return self.mix.key
        return self.rng.choice(self.keys)

    def _start_task(self, sending: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(sending)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_group(self, calls: Sequence[Call]) -> None:
        """Send calls on one connection, without waiting for responses."""
        fronts = {host.name: host.document.front for host in self.hosts}
        requests = [
            encode_get(f'/read/{call.path}', self._build_headers(call))
            for call in calls
        ]
        waiting = list(calls)
        responses = exchange_pipelined(fronts[calls[0].host], requests)
        try:
            async with asyncio.timeout(_DEADLINE_S + 1):
                await _record_responses(waiting, responses)
        except (OSError, TimeoutError) as error:
            for call in waiting:
                call.outcome = _classify_error(call, error)
        for unanswered in waiting:
            unanswered.ended_at = time.monotonic()

    async def _send(self, call: Call) -> None:
        assert self._session is not None  # noqa: S101
        fronts = {host.name: host.document.front for host in self.hosts}
        path = '/read/' if call.is_idempotent else '/write/'
        method = 'GET' if call.is_idempotent else 'POST'
        body = None if call.is_idempotent else call.request_id.encode()
        try:
            async with self._session.request(
                method,
                f'http://{fronts[call.host]}{call.prefix or path}{call.path}',
                headers=self._build_headers(call),
                data=body,
            ) as response:
                call.status = response.status
                text = await response.text()
                signature = response.headers.get(_HEADERS.signature)
                call.outcome = _classify_response(call, text, signature)
        except (ClientError, OSError, TimeoutError) as error:
            call.outcome = _classify_error(call, error)
        call.ended_at = time.monotonic()

    def _build_headers(self, call: Call) -> dict[str, str]:
        affinity_key = self.rng.randrange(_AFFINITY_KEYS)
        return {
            'Host': 'a.example',
            'Authorization': f'{_HEADERS.key_scheme}{call.key}',
            'Cookie': f'{_HEADERS.affinity_cookie}={affinity_key}',
            _HEADERS.request_id: call.request_id,
            _HEADERS.deadline_ms: str(_DEADLINE_S * 1000),
        }


async def _record_responses(
    waiting: list[Call], responses: AsyncIterator[RawResponse]
) -> None:
    """Assign responses to calls, which leave the list."""
    async for response in responses:
        _record_response(waiting.pop(0), response)
        if response.closes:
            _mark_unread(waiting)


def _record_response(call: Call, response: RawResponse) -> None:
    call.status = response.status
    signature = response.headers.get(_HEADERS.signature.lower())
    call.outcome = _classify_response(call, response.text, signature)
    call.ended_at = time.monotonic()


def _mark_unread(calls: Sequence[Call]) -> None:
    for call in calls:
        call.outcome = CallOutcome.unread


def _classify_response(
    call: Call, text: str, signature: str | None
) -> CallOutcome:
    if call.status in _REFUSAL_STATUSES:
        return CallOutcome.refused
    if call.status != _STATUS_OK:
        return CallOutcome.failed
    if signature != call.request_id:
        return CallOutcome.mismatched
    if text == build_response_text(call.request_id):
        return CallOutcome.answered
    return CallOutcome.truncated if text else CallOutcome.mismatched


def _classify_error(call: Call, error: Exception) -> CallOutcome:
    if isinstance(error, ConnectionRefusedError) or 'connect' in str(error):
        return CallOutcome.unreachable
    return CallOutcome.closed
