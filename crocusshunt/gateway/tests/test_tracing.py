"""Each request is counted once, however it ends."""

from crocusshunt.core import HostIdentity, ManualClock
from crocusshunt.delivery import NotRun, UnknownOutcome
from crocusshunt.gateway._tracing import Tracer
from crocusshunt.gateway.tests.site import run_site
from crocusshunt.metrics import EndedRequest, OutcomeKind

_HOST = HostIdentity('h1', 'addis', 'addis-a')


class _Recorder:
    def __init__(self) -> None:
        self.ended: list[EndedRequest] = []

    def record(self, ended: EndedRequest) -> None:
        self.ended.append(ended)


async def test_answers_and_refusals_are_counted() -> None:
    async with run_site(servers=1) as site:
        for path in ('/open/1', '/open/2', '/nowhere'):
            async with site.request('GET', path) as answer:
                await answer.read()
        outcomes = site.gateways[0].metrics.outcomes
    assert outcomes['route', 'open', 'answered'] == 2
    assert outcomes['region', 'addis', 'not_run'] == 1


def test_trace_keeps_the_last_failure_and_every_attempt() -> None:
    clock, recorder = ManualClock(), _Recorder()
    tracer = Tracer(_HOST, clock, recorder)
    trace = tracer.open('r1')
    trace.note_failure(NotRun('no-room', 503, 'full'))
    trace.note_failure(UnknownOutcome('server-disconnected', 502, 'gone'))
    clock.advance(0.25)
    tracer.close(trace, None)
    assert [ended.duration_ms for ended in recorder.ended] == [250]
    assert recorder.ended[0].outcome is OutcomeKind.cancelled
    assert recorder.ended[0].code == 'server-disconnected'
