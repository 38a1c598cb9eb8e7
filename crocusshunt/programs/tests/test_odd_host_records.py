"""Hosts, as processes, beside records that another writer left."""

import asyncio
from pathlib import Path

import msgspec
import pytest

from crocusshunt.fleet import HostRecord
from crocusshunt.platform import SOURCE_FORMAT
from crocusshunt.programs.tests.test_host_starts import _prepare

_HOSTS = SOURCE_FORMAT.tables.hosts
_WATCHED_S = 4


@pytest.mark.parametrize('ip', ['::1', '255.255.255.255', '0.0.0.0'])
async def test_record_with_an_odd_address_leaves_a_host_ready(
    tmp_path: Path, ip: str
) -> None:
    """Each heartbeat to it failed, so no host of the region was ready."""
    async with _prepare(tmp_path) as start:
        region = 'a'
        record = HostRecord('odd', ip, 7600, '127.0.0.1:9', 'a1', region)
        start.store.put(_HOSTS, 'odd', msgspec.json.encode(record))
        start.host.start()
        await start.wait_until_ready()
        await asyncio.sleep(_WATCHED_S)
        failed = [
            (one['task'], one['error'])
            for one in start.read_log()
            if one['event'] == 'background task failed'
        ]
        is_ready = await start.is_ready()
    assert not failed
    assert is_ready
