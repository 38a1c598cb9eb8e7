"""What other hosts are told of kept buckets, whatever the names are."""

from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.core import ManualClock
from crocusshunt.fleet import MAX_DATAGRAM_BYTES, encode
from crocusshunt.front._kept_customers import KeptCustomers
from crocusshunt.sharing import GivenLeases, HeldLeases, NameRange

_LONG = 'a' * 2_000
_NAMES = st.sets(
    st.one_of(
        st.text(max_size=3),
        st.integers(0, 10**6).map(lambda number: f'cust{number:060}'),
        st.sampled_from((_LONG, f'b{_LONG}', f'cust{_LONG}')),
    ),
    max_size=120,
)
_ROUNDS = 30


@settings(max_examples=150, derandomize=True, deadline=None)
@given(_NAMES, st.lists(_NAMES, max_size=3))
def test_no_range_lacks_a_name_that_is_kept(
    names: set[str], later: list[set[str]]
) -> None:
    """Other hosts end their leases of what a range lacks."""
    held = HeldLeases()
    kept = KeptCustomers('a1', held, ManualClock(1))
    for now, known in enumerate((names, *later)):
        for released in set(held.kept) - known:
            held.release(released)
        for name in known:
            held.keep(name, now)
        for _ in range(_ROUNDS):
            told = kept.tell_range()
            if told is None:
                continue
            assert len(encode(told)) <= MAX_DATAGRAM_BYTES
            span = NameRange(told.first, told.until)
            assert set(told.customers) == {
                name for name in known if span.has(name)
            }


def test_ranges_cover_all_names_in_turn() -> None:
    held = HeldLeases()
    names = [f'cust{number:04}' for number in range(1_000)]
    for name in names:
        held.keep(name, 0)
    kept = KeptCustomers('a1', held, ManualClock(1))
    told = [kept.tell_range() for _ in range(8)]
    assert {one for part in told if part for one in part.customers} == set(
        names
    )


def test_message_without_a_stamp_ends_no_lease() -> None:
    """Such a one has no names either; a former build reads it so, too."""
    lender = GivenLeases()
    lender.note_stamp('h2', 70, now=5)
    assert lender.give('court', 'h2', now=5)
    lender.note_stamp('h2', 0, now=5)
    lender.note_kept('h2', 0, ())
    assert lender.find_own_fraction('court', 5) == 0
