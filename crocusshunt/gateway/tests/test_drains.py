"""Drained servers are left out of the choice of servers."""

import pytest

from crocusshunt.configuration import Edit, Evidence, encode_row
from crocusshunt.core import ManualClock
from crocusshunt.drains import Drain, DrainKind
from crocusshunt.gateway._admission import AdmissionControl
from crocusshunt.messages import SnapshotFeed
from crocusshunt.replication import Feed
from crocusshunt.routing import Pool, Row, Server, find_row_table

_SERVERS = (
    Server('s1', 'verify', '10.0.0.1:80', 'addis', 'addis-a', slots=4),
    Server('s2', 'verify', '10.0.0.2:80', 'dire', 'dire-a', slots=4),
)


@pytest.mark.parametrize(
    ('kind', 'target', 'expected'),
    [
        (DrainKind.server, 's1', ['s2']),
        (DrainKind.region, 'dire', ['s1']),
        (DrainKind.failure_domain, 'addis-a', ['s2']),
        (DrainKind.host, 'h1', ['s1', 's2']),
    ],
)
def test_drained_servers_get_no_new_requests(
    kind: DrainKind,
    target: str,
    expected: list[str],
) -> None:
    feed = Feed(ManualClock())
    admission_control = AdmissionControl(feed, key_evidence_s=4)
    rows: tuple[Row, ...] = (Pool('verify'), *_SERVERS)
    _apply_rows(feed, 1, rows)
    assert len(admission_control.servers['verify']) == len(_SERVERS)
    _apply_rows(feed, 2, (*rows, Drain('d', kind, target)))
    names = [server.name for server in admission_control.servers['verify']]
    assert names == expected


def _apply_rows(feed: Feed, revision: int, rows: tuple[Row, ...]) -> None:
    edits = tuple(
        Edit(find_row_table(row), row.name, None, encode_row(row))
        for row in rows
    )
    snapshot = SnapshotFeed(revision, f'{revision:064}', edits, Evidence(1, 0))
    assert feed.accept_snapshot(snapshot, asked_at=0)
