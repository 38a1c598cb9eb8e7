"""Keys and servers without store access or with a pending change."""

import pytest
from result import Err

from crocusshunt.configuration import (
    Change,
    Configuration,
    Edit,
    Evidence,
    attach_digest,
    encode_row,
)
from crocusshunt.core import ManualClock, parse_address
from crocusshunt.gateway._admission import AdmissionControl, AdmissionRequest
from crocusshunt.keys import Key, digest_key
from crocusshunt.replication import Feed
from crocusshunt.routing import (
    Access,
    Customer,
    FailureDomain,
    Pool,
    Route,
    Row,
    Server,
    find_row_table,
)
from crocusshunt.witnesses import Announcement, Witness
from crocusshunt.witnesses import Testimony as WitnessTestimony

_SECRETS = {'court': 'ck_court_00', 'bar': 'ck_bar_00'}
_WITNESS_ADDRESSES = tuple(f'tcp://127.0.0.1:{port}' for port in (1, 2, 3))
_EVIDENCE_S = 4


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def feed(clock: ManualClock) -> Feed:
    rows: tuple[Row, ...] = (
        FailureDomain('a', 'addis'),
        Pool('verify'),
        Server('s1', 'verify', '127.0.0.1:1', 'addis', 'a', slots=1),
        Server('s2', 'verify', '127.0.0.1:2', 'addis', 'a', slots=1),
        Route('verify', 'verify', path_prefix='/verify'),
        Route('open', 'verify', path_prefix='/open', access=Access.open),
        Customer('court', 1, 1),
        *(
            Key(name, 'court', digest_key(secret))
            for name, secret in _SECRETS.items()
        ),
        *(
            Witness(f'w{address[-1]}', address, 'addis', 'a')
            for address in _WITNESS_ADDRESSES
        ),
    )
    edits = tuple(
        Edit(find_row_table(row), row.name, None, encode_row(row))
        for row in rows
    )
    genesis = Configuration().digest
    change = attach_digest(Change(1, 'c1', 'mina', 'first', 0, edits, genesis))
    created = Feed(clock)
    created.accept_changes((change,), Evidence(1, 0), clock.monotonic())
    return created


def _admit(
    admission_control: AdmissionControl, name: str, path: str = '/verify'
) -> str:
    presented = frozenset((_SECRETS[name],)) if name else frozenset[str]()
    client = parse_address('127.0.0.1').unwrap()
    admitted = admission_control.admit(
        AdmissionRequest('', path, 'GET', client, presented)
    )
    if isinstance(admitted, Err):
        return admitted.err_value.code
    return admitted.ok_value.customer


def _create_admission_control(feed: Feed) -> AdmissionControl:
    admission_control = AdmissionControl(feed, _EVIDENCE_S)
    admission_control._rebuild(feed.configuration)
    return admission_control


def _accept_testimonies(
    feed: Feed, clock: ManualClock, *pending: Announcement
) -> None:
    for address in _WITNESS_ADDRESSES[1:]:
        feed.accept_testimonies(
            (WitnessTestimony(address, 1, 2, pending),),
            clock.monotonic(),
        )


def test_cut_off_host_refuses_keys_and_serves_open_routes(
    feed: Feed,
    clock: ManualClock,
) -> None:
    admission_control = _create_admission_control(feed)
    assert _admit(admission_control, 'court') == 'court'
    clock.advance(_EVIDENCE_S + 1)
    assert _admit(admission_control, 'court') == 'key-evidence-stale'
    assert _admit(admission_control, '', '/open') == ''


def test_testimonies_keep_keys_accepted(feed: Feed, clock: ManualClock) -> None:
    admission_control = _create_admission_control(feed)
    clock.advance(_EVIDENCE_S + 1)
    _accept_testimonies(feed, clock)
    assert _admit(admission_control, 'court') == 'court'


def test_pending_change_suspends_keys_and_servers_it_names(
    feed: Feed,
    clock: ManualClock,
) -> None:
    admission_control = _create_admission_control(feed)
    pending = Announcement('c2', 2, 2, keys=('court',), servers=('s1',))
    _accept_testimonies(feed, clock, pending)
    assert _admit(admission_control, 'court') == 'key-suspended'
    assert _admit(admission_control, 'bar') == 'court'
    servers = admission_control.servers['verify']
    assert [server.name for server in servers] == ['s2']
    clock.advance(1)
    _accept_testimonies(feed, clock)
    assert _admit(admission_control, 'court') == 'court'


def test_suspension_lasts_as_long_as_evidence_is_trusted(
    feed: Feed,
    clock: ManualClock,
) -> None:
    admission_control = AdmissionControl(feed, 3 * _EVIDENCE_S)
    admission_control._rebuild(feed.configuration)
    _accept_testimonies(feed, clock, Announcement('c2', 2, 2, keys=('court',)))
    clock.advance(2 * _EVIDENCE_S)
    assert _admit(admission_control, 'court') == 'key-suspended'
