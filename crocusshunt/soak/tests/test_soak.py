"""A short soak of real processes, and the seeds that once failed."""

from pathlib import Path

import pytest

from crocusshunt.soak import (
    SoakSettings,
    list_faults,
    plan_faults,
    run_soak,
)

# Seeds that broke a promise once, each with a line on its cause.
_FAILED_ONCE: tuple[int, ...] = ()


@pytest.mark.parametrize('seed', [7, *_FAILED_ONCE])
async def test_promises_hold_under_faults(seed: int, tmp_path: Path) -> None:
    settings = SoakSettings(
        seed=seed,
        seconds=18,
        hosts=3,
        servers=4,
        kinds=list_faults(),
        per_s=25,
        workdir=str(tmp_path),
    )
    ended = await run_soak(settings)
    assert ended.violations == ()
    assert ended.answered > ended.calls / 3


def test_plan_holds_all_kinds_over_some_seeds() -> None:
    found = {
        planned.kind
        for seed in range(20)
        for planned in plan_faults(
            SoakSettings(seed, 30, 3, 4, list_faults()),
        )
    }
    assert found == set(list_faults())
