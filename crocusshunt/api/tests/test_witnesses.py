"""Interface processes as witnesses, over sockets."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import pytest
from result import Err

from crocusshunt.api import ApiSection, ApiService, ApiSettings
from crocusshunt.client import OperatorClient, Proposal
from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.core import HostIdentity, ManualClock
from crocusshunt.keys import digest_key
from crocusshunt.messages import RequesterPool
from crocusshunt.replication import Feed, Follower, FollowerSettings
from crocusshunt.routing import FailureDomain, Pool, Row, find_row_table
from crocusshunt.standin import PlatformService
from crocusshunt.storeclient import PlatformSettings
from crocusshunt.witnesses import Witness

_KEY = 'ck_bootstrap_00'
_SEATS = 3
_EVIDENCE_S = 4
_TRIES = 400


@dataclass
class _Site:
    clock: ManualClock = field(default_factory=ManualClock)
    platform: PlatformService = field(
        default_factory=lambda: PlatformService('127.0.0.1', 0),
    )
    apis: list[ApiService] = field(default_factory=list)

    async def add_api(self, peers: tuple[str, ...] = ()) -> ApiService:
        section = ApiSection(
            '127.0.0.1',
            0,
            'tcp://127.0.0.1:0',
            digest_key(_KEY),
            peers,
        )
        settings = ApiSettings(
            HostIdentity('h1', 'addis', 'addis-a'),
            section,
            PlatformSettings(self.platform.url),
        )
        service = ApiService(settings, self.clock)
        await service.start()
        self.apis.append(service)
        return service

    async def propose(self, change_id: str, *rows: Row) -> str:
        client = OperatorClient(self.apis[0].url, _KEY)
        edits = tuple(
            EditRequest(find_row_table(row), row.name, encode_row(row))
            for row in rows
        )
        expected = self.apis[0].feed.configuration.revision
        proposal = Proposal(change_id, expected, 'test', edits)
        outcome = await client.propose(proposal)
        await client.close()
        if isinstance(outcome, Err):
            return outcome.err_value.describe()
        return 'accepted'

    async def name_witnesses(self) -> str:
        rows = (
            Witness(f'w{place}', api.address, 'addis', 'addis-a')
            for place, api in enumerate(self.apis)
        )
        domain = FailureDomain('addis-a', 'addis')
        return await self.propose('c1', domain, *rows)


@pytest.fixture
async def site() -> AsyncIterator[_Site]:
    created = _Site()
    await created.platform.start()
    for _ in range(_SEATS):
        await created.add_api()
    yield created
    for api in created.apis:
        await api.stop()
    await created.platform.stop()


async def _wait_for(predicate: Callable[[], bool]) -> bool:
    for _ in range(_TRIES):
        if predicate():
            return True
        await asyncio.sleep(0.025)
    return False


def _is_vouched(feed: Feed) -> bool:
    is_loaded = feed.configuration.revision > 0
    return is_loaded and feed.measure_evidence_age() <= _EVIDENCE_S


async def test_outage_keeps_evidence_young(site: _Site) -> None:
    assert await site.name_witnesses() == 'accepted'
    assert await site.propose('c2', Pool('verify')) == 'accepted'
    assert await _wait_for(
        lambda: all(
            api.feed.configuration.revision == 2 and _is_vouched(api.feed)
            for api in site.apis
        ),
    )
    feed = site.apis[0].feed
    assert await _wait_for(lambda: _has_quorum(site, feed))
    site.platform.platform.switches.is_down = True
    site.clock.advance(10)
    assert await _wait_for(lambda: _is_vouched(feed))
    peer = await site.add_api(tuple(api.address for api in site.apis))
    assert await _wait_for(lambda: _is_vouched(peer.feed))
    assert peer.feed.configuration == feed.configuration


async def test_change_needs_a_majority(site: _Site) -> None:
    assert await site.name_witnesses() == 'accepted'
    for api in site.apis[1:]:
        await api.stop()
    refused = await site.propose('c2', Pool('verify'))
    assert 'witnesses-missing' in refused
    assert site.apis[0].feed.configuration.revision == 1


async def test_controller_learns_evidence_from_a_relay(site: _Site) -> None:
    assert await site.name_witnesses() == 'accepted'
    assert await _wait_for(lambda: _has_quorum(site, site.apis[0].feed))
    site.platform.platform.switches.is_down = True
    site.clock.advance(10)
    requesters = RequesterPool()
    feed = Feed(site.clock)
    settings = FollowerSettings((site.apis[0].address,), wait_s=0.1)
    follower = Follower(settings, feed, requesters, site.clock)
    for _ in range(_TRIES):
        await follower.poll_source(site.apis[0].address)
        if _is_vouched(feed):
            break
    requesters.close()
    assert _is_vouched(feed)


def _has_quorum(site: _Site, feed: Feed) -> bool:
    """Tell whether witnesses alone vouch, whatever the store says."""
    revision = feed.configuration.revision
    age = feed._testimonies.measure_quorum_age(revision, feed.witness_addresses)
    return age <= _EVIDENCE_S
