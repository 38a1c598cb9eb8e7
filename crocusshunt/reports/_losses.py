"""Where requests are lost: refused or late, by cause, place and moment."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import msgspec

from crocusshunt.metrics import Latencies

_EVENT = 'request ended'
_MS_PER_S = 1000
_STATUS_OK = 200
_REFUSAL_STATUSES = frozenset((429, 503))
_NO_FREE_SLOT = ''


class _SendingLine(msgspec.Struct, frozen=True):
    region: str = ''
    sent_s: float = 0
    is_preferred: bool = False


class _ConsideredLine(msgspec.Struct, frozen=True):
    rule: str = ''


class _RequestLine(msgspec.Struct, frozen=True):
    event: str
    arrived: float
    duration_ms: float
    status: int
    region: str
    route: str = ''
    code: str = ''
    objective_s: float | None = None
    sendings: tuple[_SendingLine, ...] = ()
    considered: tuple[_ConsideredLine, ...] = ()

    @property
    def is_refused(self) -> bool:
        """Tell whether it was refused without being run."""
        return self.status in _REFUSAL_STATUSES

    @property
    def is_late(self) -> bool:
        """Tell whether its answer left after the objective."""
        if self.objective_s is None or self.status != _STATUS_OK:
            return False
        return self.duration_ms > self.objective_s * _MS_PER_S

    @property
    def passed_over_rule(self) -> str:
        """Return why it did not get a free slot, empty without one."""
        rules = (one.rule for one in self.considered if one.rule)
        return next(rules, _NO_FREE_SLOT)


@dataclass(frozen=True, slots=True, order=True)
class LossPlace:
    """What lost requests have in common.

    :param cause: code of a refusal; for a late answer, where it was served.
    :param region: region of the host that received the request.
    """

    cause: str
    route: str
    region: str


@dataclass(slots=True)
class Moment:
    """What happened to the requests that arrived within one second."""

    requests: int = 0
    refused: int = 0
    refused_beside_free_slot: int = 0
    late: int = 0


@dataclass(slots=True)
class Losses:
    """Refused and late requests of a run.

    An answer is late if it left the host after the objective; the way to the
    caller is not in the logs.

    :param refused: refusals by cause, route and region.
    :param late: late answers by where they were served, route and region.
    :param rules: refusals beside a free slot, by the rule that forbade it.
    :param moments: what happened in each second, by Unix time.
    :param server_times: times from the last sending to the response, by where
        the request was served.
    :param first_waits: times from arrival to the first sending, by route.
    """

    refused: Counter[LossPlace] = field(default_factory=Counter)
    late: Counter[LossPlace] = field(default_factory=Counter)
    rules: Counter[str] = field(default_factory=Counter)
    moments: dict[int, Moment] = field(default_factory=dict)
    server_times: dict[str, Latencies] = field(default_factory=dict)
    first_waits: dict[str, Latencies] = field(default_factory=dict)

    @property
    def timeline(self) -> Mapping[str, list[float]]:
        """Return shares of the requests of each second, for a plot."""
        moments = [self.moments[second] for second in sorted(self.moments)]
        return {
            'refused': [one.refused / one.requests for one in moments],
            'refused beside a free slot': [
                one.refused_beside_free_slot / one.requests for one in moments
            ],
            'late': [one.late / one.requests for one in moments],
        }

    def add(self, line: _RequestLine) -> None:
        """Count one request."""
        moment = self.moments.setdefault(int(line.arrived), Moment())
        moment.requests += 1
        if line.is_refused:
            self._add_refusal(line, moment)
        if line.sendings:
            self._add_sent(line, moment)

    def _add_refusal(self, line: _RequestLine, moment: Moment) -> None:
        moment.refused += 1
        self.refused[LossPlace(line.code, line.route, line.region)] += 1
        rule = line.passed_over_rule
        if rule != _NO_FREE_SLOT:
            moment.refused_beside_free_slot += 1
            self.rules[rule] += 1

    def _add_sent(self, line: _RequestLine, moment: Moment) -> None:
        place = _describe_place(line)
        first_wait_ms = line.sendings[0].sent_s * _MS_PER_S
        waits = self.first_waits.setdefault(line.route, Latencies())
        waits.add(first_wait_ms)
        if line.status == _STATUS_OK:
            sent_ms = line.sendings[-1].sent_s * _MS_PER_S
            times = self.server_times.setdefault(place, Latencies())
            times.add(line.duration_ms - sent_ms)
        if line.is_late:
            moment.late += 1
            self.late[LossPlace(place, line.route, line.region)] += 1


def find_losses(lines: Iterable[str]) -> Losses:
    """Return where the requests in log lines were lost.

    >>> line = (
    ...     '{"event":"request ended","arrived":7.2,"duration_ms":1,'
    ...     '"status":503,"region":"a","route":"r","code":"no-room",'
    ...     '"considered":[{"rule":"object-not-held"}]}'
    ... )
    >>> dict(find_losses([line, 'no line of a request']).rules)
    {'object-not-held': 1}
    """
    losses = Losses()
    for line in _parse_lines(lines):
        losses.add(line)
    return losses


def _parse_lines(lines: Iterable[str]) -> Iterator[_RequestLine]:
    for line in lines:
        if _EVENT not in line:
            continue
        try:
            parsed = msgspec.json.decode(line, type=_RequestLine)
        except msgspec.DecodeError:
            continue
        if parsed.event == _EVENT:
            yield parsed


def _describe_place(line: _RequestLine) -> str:
    """Return where a request was served, as seen from its host."""
    last = line.sendings[-1]
    region = 'own region' if last.region == line.region else 'other region'
    rank = 'preferred server' if last.is_preferred else 'another server'
    repeat = ', sent again' if len(line.sendings) > 1 else ''
    return f'{rank}, {region}{repeat}'
