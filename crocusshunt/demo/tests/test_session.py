"""Golden files of the demonstration session."""

from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from crocusshunt.demo import Fleet, FleetSettings, run_session

_EXAMPLES = Path(__file__).parents[3] / 'examples'


@pytest.mark.parametrize('deployment', ['abay', 'trosarina'])
async def test_whole_session(
    deployment: str,
    snapshot: SnapshotAssertion,
) -> None:
    fleet = Fleet(FleetSettings(_EXAMPLES / deployment))
    try:
        await fleet.start()
        steps = [step.describe() async for step in run_session(fleet)]
    finally:
        await fleet.stop()
    assert '\n'.join(steps) == snapshot
