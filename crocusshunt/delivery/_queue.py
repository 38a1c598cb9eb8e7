"""Bounded, fair queue of requests that wait for a free server slot."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.core import CrocusError
from crocusshunt.routing import Priority

_CustomerQueues = OrderedDict[str, deque['QueuedRequest']]


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """Bounds of a queue.

    :param capacity: greatest number of queued requests.
    :param aging_s: time in the queue, in seconds, after which a request of
        any priority counts as aged.
    :param aged_turn: every ``aged_turn``-th take returns the oldest aged
        request, if there is one, ahead of all priorities.
    """

    capacity: int = 1024
    aging_s: float = 2
    aged_turn: int = 8


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """One request in the queue.

    :param number: sequence number of its arrival, unique in the queue.
    :param arrived_at: monotonic time, in seconds.
    :param deadline: monotonic time, in seconds, after which the request need
        not be started.
    """

    number: int
    customer: str
    priority: Priority
    arrived_at: float
    deadline: float


@dataclass(unsafe_hash=True)
class QueueFullError(CrocusError):
    """The queue is full, and no other customer has enough requests to displace.

    :param customer: customer of the refused request.
    """

    code = 'queue-full'

    customer: str


@dataclass(unsafe_hash=True)
class DeadlineUnreachableError(CrocusError):
    """The request is not expected to start before its deadline.

    :param wait_s: expected wait, in seconds.
    """

    code = 'deadline-unreachable'

    wait_s: float


QueueError = QueueFullError | DeadlineUnreachableError


class RequestQueue:
    """Queue with strict priorities and round robin between customers.

    Higher priorities are taken first. Within a priority, customers are
    served by deficit round robin in which every request costs the same. Every
    ``aged_turn``-th take returns the oldest aged request instead, so that no
    request starves.

    Reference: M. Shreedhar, G. Varghese, "Efficient fair queuing using
    deficit round-robin", IEEE/ACM Transactions on Networking 4(3), 1996.
    """

    def __init__(self, settings: QueueSettings) -> None:
        """Create an empty queue."""
        self._settings = settings
        self._queues: dict[Priority, _CustomerQueues] = {
            priority: OrderedDict() for priority in Priority
        }
        self._by_number: dict[int, QueuedRequest] = {}
        self._takes = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._by_number)

    def offer(
        self,
        request: QueuedRequest,
        take_interval_s: float,
    ) -> Result[QueuedRequest | None, QueueError]:
        """Add a request, or refuse it if it can't be served.

        A request is refused at once if its expected wait, the number of
        requests ahead of it times ``take_interval_s``, ends after its
        deadline. When the queue is full, the customer with the most queued
        requests loses its newest request of the lowest priority, which is
        returned. It must have at least two more than the customer of the new
        request, or else the new request is refused.

        :param take_interval_s: recently measured time between two takes, in
            seconds.
        """
        wait_s = self._count_ahead(request) * take_interval_s
        if request.arrived_at + wait_s > request.deadline:
            return Err(DeadlineUnreachableError(wait_s))
        displaced = None
        if len(self) >= self._settings.capacity:
            displaced = self._find_displaced(request)
            if displaced is None:
                return Err(QueueFullError(request.customer))
            self.remove(displaced)
        queued = self._queues[request.priority].setdefault(
            request.customer,
            deque(),
        )
        # A request that a server turned away for lack of a free slot is queued
        # again in its former position.
        if queued and request.number < queued[0].number:
            queued.appendleft(request)
        else:
            queued.append(request)
        self._by_number[request.number] = request
        return Ok(displaced)

    def take(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request, or None if the queue is empty.

        :param now: monotonic time, in seconds.
        """
        self._takes += 1
        if self._takes % self._settings.aged_turn == 0:
            aged = self._find_aged(now)
            if aged is not None:
                self.remove(aged)
                return aged
        for queues in self._queues.values():
            if queues:
                return self._take_next(queues)
        return None

    def remove(self, request: QueuedRequest) -> bool:
        """Remove a request; return whether it was still queued."""
        if self._by_number.pop(request.number, None) is None:
            return False
        queues = self._queues[request.priority]
        queued = queues[request.customer]
        queued.remove(request)
        if not queued:
            queues.pop(request.customer)
        return True

    def _find_aged(self, now: float) -> QueuedRequest | None:
        if not self._by_number:
            return None
        oldest = self._by_number[min(self._by_number)]
        is_aged = now - oldest.arrived_at >= self._settings.aging_s
        return oldest if is_aged else None

    def _take_next(self, queues: _CustomerQueues) -> QueuedRequest:
        customer, queued = next(iter(queues.items()))
        taken = queued.popleft()
        if queued:
            queues.move_to_end(customer)
        else:
            queues.pop(customer)
        self._by_number.pop(taken.number)
        return taken

    def _count_ahead(self, request: QueuedRequest) -> int:
        ahead = 0
        for priority, queues in self._queues.items():
            if priority is request.priority:
                return ahead + _count_ahead_in_class(queues, request.customer)
            ahead += sum(len(queued) for queued in queues.values())
        return ahead

    def _find_displaced(self, request: QueuedRequest) -> QueuedRequest | None:
        counts = self._count_by_customer()
        customer, count = counts.most_common(1)[0]
        if count <= counts[request.customer] + 1:
            return None
        return next(self._iterate_newest(customer))

    def _count_by_customer(self) -> Counter[str]:
        return Counter(queued.customer for queued in self._by_number.values())

    def _iterate_newest(self, customer: str) -> Iterator[QueuedRequest]:
        for queues in reversed(self._queues.values()):
            queued = queues.get(customer)
            if queued:
                yield queued[-1]


def _count_ahead_in_class(queues: _CustomerQueues, customer: str) -> int:
    own = len(queues.get(customer, ()))
    turns = own + 1
    others = sum(
        min(len(queued), turns)
        for name, queued in queues.items()
        if name != customer
    )
    return own + others
