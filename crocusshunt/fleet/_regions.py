"""Other regions, as their summaries tell them."""

from dataclasses import dataclass, field

from crocusshunt.fleet._assembly import AssembledStatus, begin_status
from crocusshunt.fleet._messages import RegionSummary, StatusPart


@dataclass(slots=True)
class RegionState:
    """Another region, with the last summary received from it.

    :param assembled: that summary, as far as its parts have come.
    :param received_at: time of the summary, monotonic seconds.
    """

    assembled: AssembledStatus[RegionSummary]
    received_at: float


@dataclass(slots=True)
class RegionStates:
    """The last summary of each other region.

    >>> states = RegionStates()
    >>> states.put(RegionSummary('h1', 1, 7, 'a', 2), now=10)
    >>> [one.region for one in states.list_recent(12, 3)]
    ['a']
    >>> states.list_recent(14, 3)
    ()
    """

    _states: dict[str, RegionState] = field(default_factory=dict)

    def put(self, summary: RegionSummary, now: float) -> None:
        """Record a summary."""
        known = self._states.get(summary.region)
        before = None if known is None else known.assembled.told
        if before is not None and before.name != summary.name:
            before = None
        assembled = begin_status(summary, before)
        self._states[summary.region] = RegionState(assembled, now)

    def add_part(self, part: StatusPart, region: str) -> None:
        """Record a part of a region's last summary, and ignore any other."""
        state = self._states.get(region)
        if state is None or state.assembled.head.name != part.name:
            return
        state.assembled = state.assembled.add(part)

    def list_recent(
        self, now: float, max_age_s: float
    ) -> tuple[RegionSummary, ...]:
        """Return the recent summaries, by region.

        :param max_age_s: longest time since a summary, in seconds.
        """
        return tuple(
            state.assembled.status
            for _region, state in sorted(self._states.items())
            if now - state.received_at <= max_age_s
        )
