"""All gateways see the same lagging load."""

from crocusshunt.bench._regions import (
    DampedPolicy,
    lose_servers,
    split_in_proportion,
)


def test_lagging_load_brings_no_oscillation() -> None:
    """The plan settles where a proportional split swings for ever."""
    damped = lose_servers(DampedPolicy())
    assert (damped.reversals, damped.overload) == (0, 0)
    assert damped.settle_steps < 10
    plain = lose_servers(split_in_proportion)
    assert plain.reversals > 50
