"""Decoding of valid and malformed settings, configurations and entries."""

import json
from pathlib import Path
from typing import Any

import pytest

from crocusshunt.catalog import CatalogIndex, Target
from crocusshunt.platform import (
    decode_catalog,
    decode_server,
    read_front_settings,
)
from crocusshunt.platform._row_format import Reply, decode_page

_CONFIGURATION = {
    'version': '0000001f',
    'resources': [
        {
            'resource_kind': 'routes',
            'metadata': {'name': 'r1'},
            'spec': {
                'host': 'a.example',
                'prefix': '/a/',
                'kind': 'idempotent',
                'timeout_s': 2.5,
                'target_latency_s': 0.6,
                'priority': 2,
                'split': [{'service': 's1', 'weight': 90}, {'service': 's2'}],
                'max_attempts': 2,
                'public': False,
                'sticky': True,
                'home_regions': ['dire'],
            },
        },
        {
            'resource_kind': 'services',
            'metadata': {'name': 's1'},
            'spec': {'cold_start_s': 3.0, 'cold_per_s': 4.2, 'new': [1]},
        },
        {
            'resource_kind': 'tenants',
            'metadata': {'name': 't1'},
            'spec': {'api_keys': ['key-1'], 'rate_per_s': 10, 'burst': 5},
        },
        {
            'resource_kind': 'limits',
            'metadata': {},
            'spec': {'max_body_bytes': 77, 'idle_timeout_s': 15},
        },
        {'resource_kind': 'unheard-of', 'metadata': {}, 'spec': {}},
    ],
}
_ENTRY: dict[str, Any] = {
    'address': '10.0.0.1:80',
    'born': 17,
    'info': {'service': 's1', 'version': 'v1', 'zone': 'z', 'slots': 5},
    'status': {'state': 'ready', 'sequence': 4, 'cold_left_s': 1.5},
}
_SETTINGS: dict[str, Any] = {
    'self': {
        'node_name': 'h1',
        'ip': '10.0.0.1',
        'zone': 'z',
        'region': 'r',
        'new': 1,
    },
    'network': {
        'listen': {
            'front': '10.0.0.1:1',
            'ready': '10.0.0.1:2',
            'directory': '10.0.0.1:3',
        },
        'internal_ports': [7600, 7615],
        'zones': {'z': 'r'},
    },
    'platform': {'platform': {'address': '10.9.0.1:80'}},
    'terms': {'bounds': {'grace_s': 7}},
}


def _encode(content: object) -> bytes:
    return json.dumps(content).encode()


def test_configuration_is_decoded_into_a_catalog() -> None:
    catalog = decode_catalog(_encode(_CONFIGURATION)).unwrap()
    index = CatalogIndex(catalog)
    route = index.match('a.example', '/a/b')
    assert route is not None
    assert catalog.version == 31
    assert route.targets == (Target('s1', 90), Target('s2'))
    assert (route.is_idempotent, route.home_regions) == (
        True,
        frozenset(('dire',)),
    )
    assert index.find_pool('s1').cold_rate == pytest.approx(4.2)
    customer = index.find_customer('key-1')
    assert customer is not None
    assert (customer.name, customer.rate, customer.burst) == ('t1', 10, 5)
    assert catalog.limits.body_bytes == 77


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\xff',
        b'[]',
        _encode({'version': 'not-hexadecimal', 'resources': []}),
        _encode({'version': 7, 'resources': []}),
        _encode(
            {
                'version': '01',
                'resources': [{'resource_kind': 'routes', 'spec': {'host': 1}}],
            },
        ),
    ],
)
def test_malformed_configuration_is_a_typed_error(content: bytes) -> None:
    assert decode_catalog(content).unwrap_err().subject == 'configuration'


def test_entry_of_a_server_is_decoded() -> None:
    entry = decode_server('i-1', _encode(_ENTRY)).unwrap()
    assert (entry.name, entry.pool, entry.slots) == ('i-1', 's1', 5)
    assert (entry.started_ms, entry.cold_left_s) == (17, 1.5)


@pytest.mark.parametrize(
    'changed',
    [
        {'address': 'nowhere'},
        {'address': 5},
        {'info': {**_ENTRY['info'], 'slots': 0}},
        {'info': {'version': 'v1', 'zone': 'z', 'slots': 5}},
        {'info': {'service': 's1', 'zone': 'z', 'slots': 5}},
        {'info': {**_ENTRY['info'], 'version': 7}},
        {'info': {**_ENTRY['info'], 'version': 10**400}},
        {'status': {**_ENTRY['status'], 'state': 'dreaming'}},
        {'status': {'state': 'ready', 'cold_left_s': 1.5}},
        {'status': {**_ENTRY['status'], 'sequence': '4'}},
        {'status': {**_ENTRY['status'], 'sequence': 4.5}},
        {'status': {**_ENTRY['status'], 'sequence': 10**400}},
        {'status': {**_ENTRY['status'], 'sequence': -(2**63) - 1}},
        {'status': None},
    ],
)
def test_malformed_entry_is_a_typed_error(
    changed: dict[str, object],
) -> None:
    decoded = decode_server('i-1', _encode({**_ENTRY, **changed}))
    assert decoded.unwrap_err().subject == 'server i-1'


def test_settings_file_is_read(tmp_path: Path) -> None:
    path = tmp_path / 'node.json'
    path.write_bytes(_encode(_SETTINGS))
    settings = read_front_settings(path).unwrap()
    assert settings.front_address == '10.0.0.1:1'
    assert settings.internal_port == 7600
    assert settings.limits.grace_s == 7
    assert settings.limits.retry_ratio == pytest.approx(0.2)


def _write_settings(folder: Path, limits: dict[str, int]) -> Path:
    settings = json.loads(_encode(_SETTINGS))
    settings['self']['limits'] = limits
    path = folder / 'node.json'
    path.write_bytes(_encode(settings))
    return path


@pytest.mark.parametrize(
    ('limits', 'expected'),
    [
        ({'memory_mb': 552, 'max_fds': 8192}, (552_000_000, 8192)),
        ({}, (200_000_000, 4100)),
    ],
)
def test_limits_of_the_machine_are_read(
    tmp_path: Path, limits: dict[str, int], expected: tuple[int, int]
) -> None:
    path = _write_settings(tmp_path, limits)
    settings = read_front_settings(path).unwrap()
    assert (settings.memory_bytes, settings.max_descriptors) == expected


@pytest.mark.parametrize('limits', [{'memory_mb': 0}, {'max_fds': -1}])
def test_impossible_limits_of_the_machine_are_a_typed_error(
    tmp_path: Path, limits: dict[str, int]
) -> None:
    path = _write_settings(tmp_path, limits)
    assert read_front_settings(path).is_err()


@pytest.mark.parametrize('missing', ['self', 'network', 'platform'])
def test_incomplete_settings_are_a_typed_error(
    tmp_path: Path,
    missing: str,
) -> None:
    path = tmp_path / 'node.json'
    kept = {name: one for name, one in _SETTINGS.items() if name != missing}
    path.write_bytes(_encode(kept))
    error = read_front_settings(path).unwrap_err()
    assert missing in error.problem


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('listen', {**_SETTINGS['network']['listen'], 'front': '10.0.0.1'}),
        ('listen', {**_SETTINGS['network']['listen'], 'ready': 'a:80'}),
        ('listen', {**_SETTINGS['network']['listen'], 'ready': '10.0.0.1:0'}),
        ('internal_ports', [65_535, 65_536]),
        ('internal_ports', [0, 1]),
        ('internal_ports', []),
    ],
)
def test_addresses_that_cannot_be_listened_at_are_a_typed_error(
    tmp_path: Path, name: str, value: object
) -> None:
    """The process ended with an error of the library, or did nothing else."""
    path = tmp_path / 'node.json'
    network = {**_SETTINGS['network'], name: value}
    path.write_bytes(_encode({**_SETTINGS, 'network': network}))
    assert read_front_settings(path).is_err()


def test_missing_settings_file_is_a_typed_error(tmp_path: Path) -> None:
    error = read_front_settings(tmp_path / 'none.json').unwrap_err()
    assert 'No such file' in error.problem


@pytest.mark.parametrize('is_removed', [False, True])
def test_row_of_another_part_is_not_the_row_of_its_key(
    *, is_removed: bool
) -> None:
    """A row of another part took a server's entry away from all hosts."""
    foreign = {'key': 's1', 'part': 'archive', 'value': '?', 'ver': 8}
    answer = {
        'ver': 8,
        'rows': [
            {'key': 's1', 'part': '', 'value': 'e30=', 'ver': 7},
            {**foreign, 'deleted': is_removed},
        ],
    }
    page = decode_page(Reply(json.dumps(answer).encode(), 0)).unwrap()
    changes = page.decode_changes()
    assert [row.content for row in changes.rows] == [b'{}']
    assert changes.version == 8
