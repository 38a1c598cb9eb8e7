"""Validation of settings by the annotated types."""

from dataclasses import dataclass
from pathlib import Path

import pytest

from crocusshunt.settings import (
    BaseUrl,
    Duration,
    HostAddress,
    OptionalDigest,
    Port,
    TcpAddress,
    read_settings,
)

_VALID = {
    'address': '10.10.0.11',
    'port': '0',
    'listen': 'tcp://127.0.0.1:65535',
    'url': 'http://platform.abay:8080',
    'wait_s': '0.5',
    'digest': '',
}


@dataclass(frozen=True, slots=True)
class _Section:
    address: HostAddress
    port: Port
    listen: TcpAddress
    url: BaseUrl
    wait_s: Duration
    digest: OptionalDigest


@dataclass(frozen=True, slots=True)
class _Settings:
    any: _Section


def _find_faulty_keys(directory: Path, values: dict[str, str]) -> list[str]:
    path = directory / 'settings.ini'
    lines = [f'{key} = {text}' for key, text in values.items()]
    path.write_text('\n'.join(['[any]', *lines]), encoding='utf-8')
    read = read_settings(path, _Settings)
    if read.is_ok():
        return []
    return [fault.place.split()[-1] for fault in read.unwrap_err().faults]


@pytest.mark.parametrize(
    ('key', 'text'),
    [
        ('address', 'localhost'),
        ('address', '10.10.0.256'),
        ('port', '65536'),
        ('port', '-1'),
        ('listen', '127.0.0.1:80'),
        ('listen', 'tcp://127.0.0.1:70000'),
        ('listen', 'ipc:///tmp/x'),
        ('url', 'platform:8080'),
        ('url', 'http://platform/'),
        ('wait_s', '0'),
        ('digest', 'abc'),
    ],
)
def test_invalid_value_is_refused(
    key: str,
    text: str,
    tmp_path: Path,
) -> None:
    assert not _find_faulty_keys(tmp_path, _VALID)
    assert _find_faulty_keys(tmp_path, {**_VALID, key: text}) == [key]
