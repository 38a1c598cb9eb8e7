"""Tests of order, bounds and fairness of the queue."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusshunt.delivery import (
    DeadlineUnreachableError,
    QueuedRequest,
    QueueFullError,
    QueueSettings,
    RequestQueue,
)
from crocusshunt.routing import Priority

_SETTINGS = QueueSettings(capacity=8, aging_s=2, aged_turn=4)


def _build_request(
    number: int,
    customer: str = 'court',
    priority: Priority = Priority.normal,
    arrived_at: float = 0,
) -> QueuedRequest:
    return QueuedRequest(
        number, customer, priority, arrived_at, arrived_at + 10
    )


def _take_all(queue: RequestQueue, now: float = 0) -> list[int]:
    return [
        taken.number for _ in range(len(queue)) if (taken := queue.take(now))
    ]


def test_urgent_goes_first_and_customers_take_turns() -> None:
    queue = RequestQueue(_SETTINGS)
    queue.offer(_build_request(1, priority=Priority.deferrable), 0)
    for number in (2, 3, 4):
        queue.offer(_build_request(number, 'flood'), 0)
    queue.offer(_build_request(5, 'small'), 0)
    queue.offer(_build_request(6, priority=Priority.urgent), 0)
    assert _take_all(queue) == [6, 2, 5, 3, 4, 1]


def test_deferrable_does_not_starve_under_urgent_load() -> None:
    queue = RequestQueue(_SETTINGS)
    queue.offer(_build_request(0, priority=Priority.deferrable), 0)
    taken = []
    for number in range(1, 40):
        now = number / 4
        urgent = _build_request(
            number, priority=Priority.urgent, arrived_at=now
        )
        queue.offer(urgent, 0)
        request = queue.take(now)
        assert request is not None
        taken.append(request.number)
    assert 0 in taken
    assert taken.index(0) < 13


def test_small_customer_displaces_request_of_largest_customer() -> None:
    queue = RequestQueue(_SETTINGS)
    for number in range(8):
        queue.offer(_build_request(number, 'flood'), 0)
    displaced = queue.offer(_build_request(8, 'small'), 0).unwrap()
    assert displaced is not None
    assert displaced.number == 7
    refused = queue.offer(_build_request(9, 'flood'), 0).unwrap_err()
    assert isinstance(refused, QueueFullError)


def test_request_is_refused_early_if_its_deadline_cannot_be_met() -> None:
    queue = RequestQueue(_SETTINGS)
    for number in range(4):
        queue.offer(_build_request(number), 0)
    refused = queue.offer(_build_request(4), take_interval_s=3).unwrap_err()
    assert refused == DeadlineUnreachableError(12)
    # Another customer's request would be second, an urgent one first.
    assert queue.offer(_build_request(5, 'small'), take_interval_s=3).is_ok()
    urgent = _build_request(6, priority=Priority.urgent)
    assert queue.offer(urgent, take_interval_s=11).is_ok()


class _QueueMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.queue = RequestQueue(_SETTINGS)
        self.queued: dict[int, QueuedRequest] = {}
        self.number = 0
        self.now = float(0)

    @rule(
        customer=st.sampled_from(('a', 'b', 'c')),
        priority=st.sampled_from(tuple(Priority)),
    )
    def offer(self, customer: str, priority: Priority) -> None:
        self.number += 1
        request = _build_request(self.number, customer, priority, self.now)
        offered = self.queue.offer(request, 0)
        if offered.is_ok():
            self.queued[self.number] = request
            displaced = offered.unwrap()
            if displaced is not None:
                assert self.queued.pop(displaced.number) == displaced

    @rule(step=st.floats(0, 3))
    def take(self, step: float) -> None:
        self.now += step
        taken = self.queue.take(self.now)
        if taken is None:
            assert not self.queued
        else:
            assert self.queued.pop(taken.number) == taken

    @rule(drawn=st.data())
    def remove(self, drawn: st.DataObject) -> None:
        if self.queued:
            number = drawn.draw(st.sampled_from(sorted(self.queued)))
            request = self.queued.pop(number)
            assert self.queue.remove(request)
            assert not self.queue.remove(request)

    @invariant()
    def no_request_is_lost(self) -> None:
        assert len(self.queue) == len(self.queued)
        assert len(self.queued) <= _SETTINGS.capacity


TestQueueMachine = _QueueMachine.TestCase
TestQueueMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)
