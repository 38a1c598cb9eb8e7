"""Region shares of shifts, with and without free slots in the target."""

from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.gateway._shares import RegionSplit
from crocusshunt.shifts import RegionShare

_POOL = 'verify'


@settings(derandomize=True, max_examples=200)
@given(
    st.floats(min_value=0, max_value=1),
    st.lists(st.booleans(), max_size=200),
)
def test_share_is_never_exceeded(
    share: float, slot_availability: list[bool]
) -> None:
    split = RegionSplit('addis')
    split.replace({_POOL: (RegionShare('dire', share),)})
    for number, has_free_slot in enumerate(slot_availability, start=1):
        chosen = split.choose(_POOL)
        split.commit(_POOL, chosen if has_free_slot else 'addis')
        assert split.count(_POOL, 'dire') <= share * number


def test_share_is_reached() -> None:
    split = RegionSplit('addis')
    split.replace({_POOL: (RegionShare('dire', 0.3),)})
    for _ in range(1000):
        split.commit(_POOL, split.choose(_POOL))
    assert split.count(_POOL, 'dire') == 300


def test_raised_share_counts_from_zero() -> None:
    split = RegionSplit('addis')
    split.replace({_POOL: (RegionShare('dire', 0.1),)})
    for _ in range(1000):
        split.commit(_POOL, split.choose(_POOL))
    split.replace({_POOL: (RegionShare('dire', 0.2),)})
    for _ in range(10):
        split.commit(_POOL, split.choose(_POOL))
    assert split.count(_POOL, 'dire') == 2
