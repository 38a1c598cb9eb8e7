"""Fixtures of the tests that run separate processes."""

from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from crocusshunt.programs.tests.site import Site


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    async with aiohttp.ClientSession() as session:
        started = Site(tmp_path, session)
        try:
            await started.start_all()
            await started.apply_tables()
            yield started
        finally:
            started.stop()
