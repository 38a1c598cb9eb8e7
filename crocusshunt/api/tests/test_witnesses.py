"""Tests of API processes that act as witnesses, over real sockets."""

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
_WITNESS_COUNT = 3
_MAX_EVIDENCE_AGE_S = 4
_MAX_ATTEMPTS = 400


@dataclass
class _Deployment:
    """A simulated platform and the API processes that use it."""

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

    async def configure_witnesses(self) -> str:
        rows = (
            Witness(f'w{index}', api.address, 'addis', 'addis-a')
            for index, api in enumerate(self.apis)
        )
        domain = FailureDomain('addis-a', 'addis')
        return await self.propose('c1', domain, *rows)


@pytest.fixture
async def deployment() -> AsyncIterator[_Deployment]:
    created = _Deployment()
    await created.platform.start()
    for _ in range(_WITNESS_COUNT):
        await created.add_api()
    yield created
    for api in created.apis:
        await api.stop()
    await created.platform.stop()


async def _wait_for(predicate: Callable[[], bool]) -> bool:
    for _ in range(_MAX_ATTEMPTS):
        if predicate():
            return True
        await asyncio.sleep(0.025)
    return False


def _has_recent_evidence(feed: Feed) -> bool:
    is_loaded = feed.configuration.revision > 0
    return is_loaded and feed.measure_evidence_age() <= _MAX_EVIDENCE_AGE_S


async def test_evidence_stays_recent_during_an_outage(
    deployment: _Deployment,
) -> None:
    assert await deployment.configure_witnesses() == 'accepted'
    assert await deployment.propose('c2', Pool('verify')) == 'accepted'
    assert await _wait_for(
        lambda: all(
            api.feed.configuration.revision == 2
            and _has_recent_evidence(api.feed)
            for api in deployment.apis
        ),
    )
    feed = deployment.apis[0].feed
    assert await _wait_for(lambda: _has_quorum(deployment, feed))
    deployment.platform.platform.switches.is_down = True
    deployment.clock.advance(10)
    assert await _wait_for(lambda: _has_recent_evidence(feed))
    peer = await deployment.add_api(
        tuple(api.address for api in deployment.apis)
    )
    assert await _wait_for(lambda: _has_recent_evidence(peer.feed))
    assert peer.feed.configuration == feed.configuration


async def test_change_requires_a_majority_of_witnesses(
    deployment: _Deployment,
) -> None:
    assert await deployment.configure_witnesses() == 'accepted'
    for api in deployment.apis[1:]:
        await api.stop()
    refused = await deployment.propose('c2', Pool('verify'))
    assert 'witnesses-missing' in refused
    assert deployment.apis[0].feed.configuration.revision == 1


async def test_controller_gets_evidence_from_api_process(
    deployment: _Deployment,
) -> None:
    assert await deployment.configure_witnesses() == 'accepted'
    assert await _wait_for(
        lambda: _has_quorum(deployment, deployment.apis[0].feed)
    )
    deployment.platform.platform.switches.is_down = True
    deployment.clock.advance(10)
    requesters = RequesterPool()
    feed = Feed(deployment.clock)
    settings = FollowerSettings((deployment.apis[0].address,), wait_s=0.1)
    follower = Follower(settings, feed, requesters, deployment.clock)
    for _ in range(_MAX_ATTEMPTS):
        await follower.poll_source(deployment.apis[0].address)
        if _has_recent_evidence(feed):
            break
    requesters.close()
    assert _has_recent_evidence(feed)


def _has_quorum(deployment: _Deployment, feed: Feed) -> bool:
    """Tell whether the witnesses alone provide recent evidence."""
    revision = feed.configuration.revision
    age = feed._testimonies.measure_quorum_age(revision, feed.witness_addresses)
    return age <= _MAX_EVIDENCE_AGE_S
