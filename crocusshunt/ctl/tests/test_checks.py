"""Command-line checks of a host's settings and configuration files."""

import io
from pathlib import Path
from typing import Any

import pytest
from docopt import docopt

from crocusshunt.ctl import CommandEnvironment, Console, run_command
from crocusshunt.programs import ctl
from crocusshunt.standin import (
    CustomerDocument,
    HostDocument,
    describe_route,
    encode_configuration,
    encode_settings,
)

_COURT = CustomerDocument('court', ('key-1',))


async def _run(*words: str) -> tuple[int, str, str]:
    output, progress = io.StringIO(), io.StringIO()
    console = Console(output=output, progress=progress)
    arguments: dict[str, Any] = docopt(ctl.__doc__ or '', list(words))
    status = await run_command(arguments, CommandEnvironment(console))
    return status, output.getvalue(), progress.getvalue()


async def _check(path: Path, content: bytes) -> tuple[int, str]:
    path.write_bytes(content)
    status, output, progress = await _run('check', 'configuration', str(path))
    return status, output + progress


async def test_valid_settings_are_described(
    tmp_path: Path,
) -> None:
    host = HostDocument('h1', 'a1', 20_000, '127.0.0.1:9')
    path = tmp_path / 'h1.json'
    path.write_bytes(encode_settings(host, {'a1': 'a'}))
    status, output, _progress = await _run('check', 'settings', str(path))
    assert status == 0
    assert 'host h1 in a1 (a)' in output


@pytest.mark.parametrize('content', ['', '{"self":1}', '\0'])
async def test_unreadable_settings_are_wrong_input(
    tmp_path: Path,
    content: str,
) -> None:
    path = tmp_path / 'node.json'
    path.write_text(content)
    status, output, progress = await _run('check', 'settings', str(path))
    assert status == 2
    assert str(path) in output + progress


async def test_missing_file_is_wrong_input(tmp_path: Path) -> None:
    status, _output, _progress = await _run(
        'check', 'configuration', str(tmp_path / 'none')
    )
    assert status == 2


async def test_valid_configuration_is_summarized(tmp_path: Path) -> None:
    content = encode_configuration(
        12, [describe_route()], [_COURT], pools=['pool']
    )
    status, text = await _check(tmp_path / 'config', content)
    assert status == 0, text
    assert 'version 12: 1 routes (0 public) to 1 pools' in text


@pytest.mark.parametrize(
    ('routes', 'customers', 'fault'),
    [
        ([describe_route(service='gone')], [_COURT], 'pool gone is not listed'),
        (
            [describe_route(), describe_route()],
            [_COURT],
            '2 routes take these requests',
        ),
        (
            [describe_route()],
            [_COURT, CustomerDocument('bank', ('key-1',))],
            'shares a key',
        ),
    ],
)
async def test_contradictions_are_reported(
    tmp_path: Path,
    routes: list[dict[str, Any]],
    customers: list[CustomerDocument],
    fault: str,
) -> None:
    content = encode_configuration(1, routes, customers, pools=['pool'])
    status, text = await _check(tmp_path / 'config', content)
    assert status == 2
    assert fault in text
