"""Registry of benchmarks and the measurements they yield."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from msgspec.json import encode


@dataclass(frozen=True, slots=True)
class Measurement:
    """One measured figure.

    :param name: subject and quantity, joined by a dot.
    :param target: largest acceptable value (smallest if `is_floor`), None
        if there is no target.
    :param baseline: the same quantity of the simplest alternative.
    :param seed: seed of the random workload.
    :param is_floor: whether the target is a lower bound.
    """

    name: str
    value: float
    unit: str
    target: float | None = None
    baseline: float | None = None
    seed: int = 0
    is_floor: bool = False

    def is_miss(self) -> bool:
        """Return whether the value misses its target.

        >>> Measurement('limit.overshoot', 1, 'requests', target=0).is_miss()
        True
        """
        if self.target is None:
            return False
        if self.is_floor:
            return self.value < self.target
        return self.value > self.target

    def describe(self) -> str:
        """Return the measurement as a line of JSON."""
        return encode(
            {
                'name': self.name,
                'value': self.value,
                'unit': self.unit,
                'target': self.target,
                'baseline': self.baseline,
                'seed': self.seed,
            },
        ).decode()


Bench = Callable[[], Iterable[Measurement]]
_BENCHES: dict[str, Bench] = {}


def register_bench(subject: str) -> Callable[[Bench], Bench]:
    """Return a decorator that registers the benchmark of a subject.

    :param subject: prefix of the measurements' names.
    """

    def register(function: Bench) -> Bench:
        _BENCHES[subject] = function
        return function

    return register


def run_benches(subjects: Iterable[str] = ()) -> Iterator[Measurement]:
    """Run the registered benchmarks in the order of their subjects.

    :param subjects: the subjects to run; all if empty.
    """
    wanted = frozenset(subjects)
    for subject, bench in sorted(_BENCHES.items()):
        if not wanted or subject in wanted:
            yield from bench()


def format_misses(measurements: Iterable[Measurement]) -> str:
    """Return a table of the measurements that miss their targets.

    >>> print(format_misses((Measurement('a', 2, 's', target=1),)))
    missed target: a = 2 s (target 1)
    """
    lines = [
        f'missed target: {one.name} = {one.value} {one.unit} '
        f'(target {one.target})'
        for one in measurements
        if one.is_miss()
    ]
    return '\n'.join(lines) or 'every target met'
