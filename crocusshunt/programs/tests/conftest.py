"""Fixtures of the tests that run separate processes."""

from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from crocusshunt.programs.tests.deployment import LocalDeployment


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[LocalDeployment]:
    async with aiohttp.ClientSession() as session:
        started = LocalDeployment(tmp_path, session)
        try:
            await started.start_all()
            await started.apply_tables()
            yield started
        finally:
            started.stop()
