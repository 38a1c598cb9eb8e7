"""Callers that keep their connections until the host is gone."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from crocusshunt.platform import SOURCE_FORMAT
from crocusshunt.soak._processes import HostProcess
from crocusshunt.soak._records import Call, Ending, Records
from crocusshunt.soak._servers import write_answer

_NAMES = SOURCE_FORMAT.headers
_PATIENCE_S = 3
_STATUS_OK = 200
_PROMISES = frozenset((408, 421, 429, 503))
_IDEMPOTENT_SHARE = 0.5
_OBJECTS = 30


@dataclass(slots=True)
class Callers:
    """Sends calls at random moments to random hosts that were ready once.

    :param keys: keys that callers use, withdrawn ones included.
    """

    records: Records
    hosts: list[HostProcess]
    keys: tuple[str, ...]
    draw: random.Random
    _session: ClientSession | None = None
    _count: int = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, per_s: float, seconds: float) -> None:
        """Send calls for a time, then wait for the last answers."""
        timeout = ClientTimeout(total=_PATIENCE_S + 1)
        connector = TCPConnector(limit=0)
        until = time.monotonic() + seconds
        async with ClientSession(
            timeout=timeout,
            connector=connector,
        ) as session:
            self._session = session
            while time.monotonic() < until:
                self._start_call()
                await asyncio.sleep(self.draw.expovariate(per_s))
            await asyncio.gather(*self._tasks)

    def _start_call(self) -> None:
        self._count += 1
        call = Call(
            request_id=f'call-{self._count}',
            host=self.draw.choice(self.hosts).name,
            key=self.draw.choice(self.keys),
            is_idempotent=self.draw.random() < _IDEMPOTENT_SHARE,
            sent_at=time.monotonic(),
        )
        self.records.calls.append(call)
        task = asyncio.create_task(self._call(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, call: Call) -> None:
        assert self._session is not None  # noqa: S101
        fronts = {host.name: host.document.front for host in self.hosts}
        path = 'read' if call.is_idempotent else 'write'
        method = 'GET' if call.is_idempotent else 'POST'
        body = None if call.is_idempotent else call.request_id.encode()
        try:
            async with self._session.request(
                method,
                f'http://{fronts[call.host]}/{path}/x',
                headers=self._write_headers(call),
                data=body,
            ) as response:
                call.status = response.status
                text = await response.text()
                signature = response.headers.get(_NAMES.signature)
                call.ending = _judge(call, text, signature)
        except (ClientError, OSError, TimeoutError) as error:
            call.ending = _judge_error(call, error)
        call.ended_at = time.monotonic()

    def _write_headers(self, call: Call) -> dict[str, str]:
        thing = self.draw.randrange(_OBJECTS)
        return {
            'Host': 'a.example',
            'Authorization': f'{_NAMES.key_scheme}{call.key}',
            'Cookie': f'{_NAMES.affinity_cookie}={thing}',
            _NAMES.request_id: call.request_id,
            _NAMES.deadline_ms: str(_PATIENCE_S * 1000),
        }


def _judge(call: Call, text: str, signature: str | None) -> Ending:
    if call.status in _PROMISES:
        return Ending.refused
    if call.status != _STATUS_OK:
        return Ending.failed
    if signature != call.request_id:
        return Ending.foreign
    if text == write_answer(call.request_id):
        return Ending.answered
    return Ending.short if text else Ending.foreign


def _judge_error(call: Call, error: Exception) -> Ending:
    if isinstance(error, ConnectionRefusedError) or 'connect' in str(error):
        return Ending.unreachable
    return Ending.closed
