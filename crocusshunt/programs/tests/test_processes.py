"""Requests through all programs, run as separate processes."""

import os
import signal
import subprocess
from pathlib import Path

from crocusshunt.programs.tests.deployment import (
    CALLER_KEY,
    PROGRAMS,
    STATUS_OK,
    TIMEOUT_S,
    Answer,
    LocalDeployment,
    poll,
)


async def test_request_passes_through_all_processes(
    deployment: LocalDeployment,
) -> None:
    answer = await deployment.call_until(_is_ok)
    assert answer.document['customer'] == 'court'
    assert CALLER_KEY not in str(answer.document)
    lookup = await poll(lambda: _look_up_hosts(deployment), _is_ok)
    assert [host['name'] for host in lookup.document['hosts']] == ['h1']
    for name, process in deployment.processes.items():
        assert not _list_io_urings(process.pid), name
        assert not _list_children(process.pid), name
        process.send_signal(signal.SIGTERM)
    for name, process in deployment.processes.items():
        assert process.wait(TIMEOUT_S) == 0, name


async def test_metrics_count_an_answered_request(
    deployment: LocalDeployment,
) -> None:
    await deployment.call_until(_is_ok)
    async with deployment.session.get(
        f'{deployment.format_url("metrics")}/metrics'
    ) as response:
        text = await response.text()
    lines = [line for line in text.splitlines() if 'answered' in line]
    customer_lines = [line for line in lines if 'label="court"' in line]
    assert customer_lines
    assert customer_lines[0].endswith(' 1.0')


async def test_explain_command_reads_the_gateway_log(
    deployment: LocalDeployment,
) -> None:
    answer = await deployment.call_until(_is_ok)
    completed = subprocess.run(
        [
            PROGRAMS / 'crocusctl',
            'explain',
            str(answer.document['request_id']),
            f'--log={deployment.find_log("gateway")}',
        ],
        capture_output=True,
        check=False,
        text=True,
    )
    assert completed.returncode == 0, completed.stderr
    assert 'answered' in completed.stdout
    assert 'verify' in completed.stdout
    assert 's1' in completed.stdout


def test_invalid_settings_report_every_fault(tmp_path: Path) -> None:
    path = tmp_path / 'gateway.ini'
    path.write_text(
        '[gateway]\nport = many\nkey_evidence_s = 60\n[extra]\n',
        encoding='utf-8',
    )
    completed = subprocess.run(
        [PROGRAMS / 'crocus-gateway', f'--settings={path}'],
        capture_output=True,
        check=False,
        text=True,
    )
    assert completed.returncode == 2
    assert f"{path} [gateway] port: value 'many'" in completed.stderr
    assert '(allowed: a whole number >= 0 <= 65535)' in completed.stderr
    assert f"{path} [gateway] key_evidence_s: value '60'" in completed.stderr
    assert '(allowed: a number > 0 <= 4.5)' in completed.stderr
    assert f'{path} [extra]: unknown section' in completed.stderr
    assert f'{path} [host] name: missing' in completed.stderr


async def _look_up_hosts(deployment: LocalDeployment) -> Answer:
    async with deployment.session.get(
        f'{deployment.format_url("locator")}/v1/lookup'
    ) as response:
        return Answer(response.status, await response.json())


def _is_ok(answer: Answer) -> bool:
    return answer.status == STATUS_OK


def _list_io_urings(pid: int) -> list[str]:
    directory = Path(f'/proc/{pid}/fd')
    links = [os.readlink(link) for link in directory.iterdir()]
    return [link for link in links if 'io_uring' in link]


def _list_children(pid: int) -> str:
    tasks = Path(f'/proc/{pid}/task').iterdir()
    return ''.join((task / 'children').read_text() for task in tasks).strip()
