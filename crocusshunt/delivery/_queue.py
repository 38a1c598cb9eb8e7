"""Requests that wait for room, bounded and fair."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.core import CrocusError
from crocusshunt.routing import Priority

_Line = OrderedDict[str, deque['QueuedRequest']]


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """Bounds of a queue.

    :param capacity: requests that wait at once.
    :param aging_s: wait, in seconds, after which a request of any priority
        may be taken out of turn.
    :param aged_turn: every how many takes the oldest aged request is next.
    """

    capacity: int = 1024
    aging_s: float = 2
    aged_turn: int = 8


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """One request that waits.

    :param number: order of arrival, unique in the queue.
    :param arrived_at: monotonic time.
    :param deadline: monotonic time after which it need not start.
    """

    number: int
    customer: str
    priority: Priority
    arrived_at: float
    deadline: float


@dataclass(unsafe_hash=True)
class QueueFullError(CrocusError):
    """The queue is full and the customer holds the greatest part of it."""

    code = 'queue-full'

    customer: str


@dataclass(unsafe_hash=True)
class DeadlineUnreachableError(CrocusError):
    """The request would not start before its deadline.

    :param wait_s: expected wait, in seconds.
    """

    code = 'deadline-unreachable'

    wait_s: float


QueueError = QueueFullError | DeadlineUnreachableError


class RequestQueue:
    """Takes urgent requests first, customers in turn, none too late.

    Within a priority each customer's next request comes in turn: deficit
    round robin where every request costs the same. A request that waited
    long is taken out of turn now and then, so that none starves.

    Reference: M. Shreedhar, G. Varghese, "Efficient fair queuing using
    deficit round-robin", IEEE/ACM Transactions on Networking 4(3), 1996.
    """

    def __init__(self, settings: QueueSettings) -> None:
        """Start empty."""
        self._settings = settings
        self._lines: dict[Priority, _Line] = {
            priority: OrderedDict() for priority in Priority
        }
        self._by_number: dict[int, QueuedRequest] = {}
        self._takes = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._by_number)

    def offer(
        self,
        waiting: QueuedRequest,
        turn_s: float,
    ) -> Result[QueuedRequest | None, QueueError]:
        """Add a request, or refuse it early.

        When the queue is full, the newest request of the customer that
        holds the most gives way, and is returned.

        :param turn_s: seconds between two takes, as lately measured.
        """
        wait_s = self._count_ahead(waiting) * turn_s
        if waiting.arrived_at + wait_s > waiting.deadline:
            return Err(DeadlineUnreachableError(wait_s))
        displaced = None
        if len(self) >= self._settings.capacity:
            displaced = self._find_displaced(waiting)
            if displaced is None:
                return Err(QueueFullError(waiting.customer))
            self.remove(displaced)
        held = self._lines[waiting.priority].setdefault(
            waiting.customer,
            deque(),
        )
        # A request that comes back from a server without room keeps its turn.
        if held and waiting.number < held[0].number:
            held.appendleft(waiting)
        else:
            held.append(waiting)
        self._by_number[waiting.number] = waiting
        return Ok(displaced)

    def take(self, now: float) -> QueuedRequest | None:
        """Remove and return the request whose turn it is."""
        self._takes += 1
        if self._takes % self._settings.aged_turn == 0:
            aged = self._find_aged(now)
            if aged is not None:
                self.remove(aged)
                return aged
        for line in self._lines.values():
            if line:
                return self._take_in_turn(line)
        return None

    def remove(self, waiting: QueuedRequest) -> bool:
        """Remove a request; return whether it still waited."""
        if self._by_number.pop(waiting.number, None) is None:
            return False
        line = self._lines[waiting.priority]
        held = line[waiting.customer]
        held.remove(waiting)
        if not held:
            line.pop(waiting.customer)
        return True

    def _find_aged(self, now: float) -> QueuedRequest | None:
        if not self._by_number:
            return None
        oldest = self._by_number[min(self._by_number)]
        is_aged = now - oldest.arrived_at >= self._settings.aging_s
        return oldest if is_aged else None

    def _take_in_turn(self, line: _Line) -> QueuedRequest:
        customer, held = next(iter(line.items()))
        taken = held.popleft()
        if held:
            line.move_to_end(customer)
        else:
            line.pop(customer)
        self._by_number.pop(taken.number)
        return taken

    def _count_ahead(self, waiting: QueuedRequest) -> int:
        ahead = 0
        for priority, line in self._lines.items():
            if priority is waiting.priority:
                return ahead + _count_in_turn(line, waiting.customer)
            ahead += sum(len(held) for held in line.values())
        return ahead

    def _find_displaced(self, newcomer: QueuedRequest) -> QueuedRequest | None:
        counts = self._count_by_customer()
        heaviest, greatest = counts.most_common(1)[0]
        if greatest <= counts[newcomer.customer] + 1:
            return None
        return next(self._list_newest_last_priority(heaviest))

    def _count_by_customer(self) -> Counter[str]:
        return Counter(held.customer for held in self._by_number.values())

    def _list_newest_last_priority(
        self, customer: str
    ) -> Iterator[QueuedRequest]:
        for line in reversed(self._lines.values()):
            held = line.get(customer)
            if held:
                yield held[-1]


def _count_in_turn(line: _Line, customer: str) -> int:
    own = len(line.get(customer, ()))
    turns = own + 1
    others = sum(
        min(len(held), turns) for name, held in line.items() if name != customer
    )
    return own + others
