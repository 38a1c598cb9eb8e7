"""A started fleet, its callers and an operator's terminal."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from crocusshunt.demo import Fleet
from crocusshunt.demo.tests.callers import Callers
from crocusshunt.demo.tests.terminal import Terminal, create_fleet

_START_S = 15


@pytest.fixture
async def fleet(request: pytest.FixtureRequest) -> AsyncIterator[Fleet]:
    """Start the deployment that the test is parametrised with."""
    started = create_fleet(request.param)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


@pytest.fixture
async def callers(fleet: Fleet) -> AsyncIterator[Callers]:
    """Wait until every gateway answers."""
    calling = Callers(fleet)
    await calling.call_until('answered', _START_S)
    yield calling
    await calling.close()


@pytest.fixture
def terminal(fleet: Fleet, tmp_path: Path) -> Terminal:
    """Sit down at a terminal in an empty directory."""
    return Terminal(fleet, tmp_path)
