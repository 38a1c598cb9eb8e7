"""Stability of plans when all gateways see the same delayed load."""

from crocusshunt.bench._regions import (
    DampedPolicy,
    simulate_server_loss,
    split_in_proportion,
)


def test_delayed_load_causes_no_oscillation() -> None:
    """The plan settles; a split in proportion to free slots oscillates."""
    damped = simulate_server_loss(DampedPolicy())
    assert (damped.reversals, damped.overload) == (0, 0)
    assert damped.settle_steps < 10
    plain = simulate_server_loss(split_in_proportion)
    assert plain.reversals > 50
