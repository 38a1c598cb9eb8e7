"""A short soak of real processes, and the seeds that once failed."""

from dataclasses import replace
from pathlib import Path

import pytest

from crocusshunt.soak import (
    SoakSettings,
    list_faults,
    plan_faults,
    run_soak,
)

# Seeds that broke a promise once, as they were played, with their causes:
# 4 and 13: moves of the routes overlapped, and the soak itself named one pool
# twice, so that it took runs at the new pool for runs at the old one.
_FAILED_ONCE = (4, 13)


def _describe_soak(seed: int, workdir: Path) -> SoakSettings:
    return SoakSettings(
        seed=seed,
        seconds=18,
        hosts=3,
        servers=4,
        kinds=list_faults(),
        per_s=25,
        workdir=str(workdir),
    )


async def test_promises_hold_under_faults(tmp_path: Path) -> None:
    ended = await run_soak(_describe_soak(7, tmp_path))
    assert ended.violations == ()
    assert ended.answered > ended.calls / 3


@pytest.mark.parametrize('seed', _FAILED_ONCE)
async def test_seed_that_failed_once(seed: int, tmp_path: Path) -> None:
    settings = replace(
        _describe_soak(seed, tmp_path),
        seconds=25,
        hosts=4,
        servers=5,
        per_s=40,
    )
    ended = await run_soak(settings)
    assert ended.violations == ()


def test_plan_holds_all_kinds_over_some_seeds() -> None:
    found = {
        planned.kind
        for seed in range(20)
        for planned in plan_faults(
            SoakSettings(seed, 30, 3, 4, list_faults()),
        )
    }
    assert found == set(list_faults())
