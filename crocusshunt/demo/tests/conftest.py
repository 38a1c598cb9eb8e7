"""Fixtures: a started fleet, its callers and an operator's terminal."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from crocusshunt.demo import Fleet
from crocusshunt.demo.tests.callers import Callers
from crocusshunt.demo.tests.terminal import Terminal, create_fleet

_START_TIMEOUT_S = 15


@pytest.fixture
async def fleet(request: pytest.FixtureRequest) -> AsyncIterator[Fleet]:
    """Start the deployment named by the test parameter."""
    started = create_fleet(request.param)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


@pytest.fixture
async def callers(fleet: Fleet) -> AsyncIterator[Callers]:
    """Return callers, once every gateway answers."""
    fleet_callers = Callers(fleet)
    await fleet_callers.call_until('answered', _START_TIMEOUT_S)
    yield fleet_callers
    await fleet_callers.close()


@pytest.fixture
def terminal(fleet: Fleet, tmp_path: Path) -> Terminal:
    """Return a terminal whose working directory is empty."""
    return Terminal(fleet, tmp_path)
