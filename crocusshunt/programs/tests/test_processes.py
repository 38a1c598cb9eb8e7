"""The whole path as separate processes."""

import os
import signal
import subprocess
from pathlib import Path

from crocusshunt.programs.tests.site import (
    CALLER_KEY,
    GIVE_UP_S,
    PROGRAMS,
    STATUS_OK,
    Answer,
    Site,
    poll,
)


async def test_request_crosses_all_processes(site: Site) -> None:
    answer = await site.call_until(_is_answered)
    assert answer.document['customer'] == 'court'
    assert CALLER_KEY not in str(answer.document)
    lookup = await poll(lambda: _look_up(site), _is_answered)
    assert [host['name'] for host in lookup.document['hosts']] == ['h1']
    for name, process in site.processes.items():
        assert not _find_io_urings(process.pid), name
        assert not _find_children(process.pid), name
        process.send_signal(signal.SIGTERM)
    for name, process in site.processes.items():
        assert process.wait(GIVE_UP_S) == 0, name


async def test_metrics_count_a_request(site: Site) -> None:
    await site.call_until(_is_answered)
    async with site.session.get(f'{site.url("metrics")}/metrics') as scraped:
        text = await scraped.text()
    lines = [line for line in text.splitlines() if 'answered' in line]
    counted = [line for line in lines if 'label="court"' in line]
    assert counted
    assert counted[0].endswith(' 1.0')


async def test_log_explains_a_request(site: Site) -> None:
    answer = await site.call_until(_is_answered)
    explained = subprocess.run(
        [
            PROGRAMS / 'crocusctl',
            'explain',
            str(answer.document['request_id']),
            f'--log={site.find_log("gateway")}',
        ],
        capture_output=True,
        check=False,
        text=True,
    )
    assert explained.returncode == 0, explained.stderr
    assert 'answered' in explained.stdout
    assert 'verify' in explained.stdout
    assert 's1' in explained.stdout


def test_wrong_settings_name_every_fault(tmp_path: Path) -> None:
    path = tmp_path / 'gateway.ini'
    path.write_text(
        '[gateway]\nport = many\nkey_evidence_s = 60\n[extra]\n',
        encoding='utf-8',
    )
    ended = subprocess.run(
        [PROGRAMS / 'crocus-gateway', f'--settings={path}'],
        capture_output=True,
        check=False,
        text=True,
    )
    assert ended.returncode == 2
    assert f"{path} [gateway] port: value 'many'" in ended.stderr
    assert '(allowed: a whole number >= 0 <= 65535)' in ended.stderr
    assert f"{path} [gateway] key_evidence_s: value '60'" in ended.stderr
    assert '(allowed: a number > 0 <= 4.5)' in ended.stderr
    assert f'{path} [extra]: unknown section' in ended.stderr
    assert f'{path} [host] name: missing' in ended.stderr


async def _look_up(site: Site) -> Answer:
    async with site.session.get(f'{site.url("locator")}/v1/lookup') as found:
        return Answer(found.status, await found.json())


def _is_answered(answer: Answer) -> bool:
    return answer.status == STATUS_OK


def _find_io_urings(pid: int) -> list[str]:
    folder = Path(f'/proc/{pid}/fd')
    links = [os.readlink(link) for link in folder.iterdir()]
    return [link for link in links if 'io_uring' in link]


def _find_children(pid: int) -> str:
    tasks = Path(f'/proc/{pid}/task').iterdir()
    return ''.join((task / 'children').read_text() for task in tasks).strip()
