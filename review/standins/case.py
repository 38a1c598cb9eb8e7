"""Frame of a case: starts the parts, ends them, writes the record."""

import asyncio
import json
import os
import signal
import sys
import tempfile
import traceback
from pathlib import Path

import uvloop

from review.standins.backend import Backend
from review.standins.client import Client
from review.standins.hosts import HostProcess, draw_ip
from review.standins.record import Record
from review.standins.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 110


def route(name, service, prefix, **changes):
    spec = {
        'host': 'jepu9.example', 'prefix': prefix, 'kind': 'idempotent',
        'service': service, 'timeout_s': 4.0, 'target_latency_s': 0.6,
        'priority': 0, 'max_attempts': 2, 'public': False, 'sticky': False,
        'home_regions': [],
    }
    spec.update(changes)
    return _resource('routes', name, spec)


def tenant(name, keys, rate=0, burst=0):
    spec = {'api_keys': list(keys), 'rate_per_s': rate, 'burst': burst}
    return _resource('tenants', name, spec)


def service(name):
    spec = {
        'health_path': '/health', 'max_conns': 360, 'cold_start_s': 4.0,
        'cold_per_s': 20.0,
    }
    return _resource('services', name, spec)


def _resource(kind, name, spec):
    return {'resource_kind': kind, 'metadata': {'name': name}, 'spec': spec}


class Case:
    """A small deployment, and what happened in it."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.record = Record()
        self.store = Store()
        self.client = Client(self.record)
        self.hosts = []
        self.backends = []
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def start(self, zones, host_zones, manifest, backends):
        """Start store, backends and hosts, and wait until hosts are ready.

        :param zones: region of each zone.
        :param host_zones: zone of each host.
        :param backends: (name, service, zone, options) of each backend.
        """
        await self.store.start(draw_ip(0))
        self.write_manifest(manifest)
        for name, pool, zone, options in backends:
            await self.add_backend(name, pool, zone, **options)
        for number, zone in enumerate(host_zones, 1):
            host = HostProcess(
                self.folder, f'front-{zone}-{number}', zone, zones,
                self.store.address, draw_ip(number + 1),
            )
            self.hosts.append(host)
            host.start()
        ready = [await one.wait_until_ready() for one in self.hosts]
        await self.client.start()
        if not all(ready):
            raise RuntimeError('hosts are not ready')
        # Traffic starts a while after the machines.
        await asyncio.sleep(4)

    async def add_backend(self, name, pool, zone, **options):
        backend = Backend(self.record, self.store, name, pool, zone, **options)
        await backend.start(draw_ip(1))
        self.backends.append(backend)
        return backend

    def write_manifest(self, manifest):
        """Write a manifest as the operator does; return the store's version."""
        version, resources = manifest
        body = {'version': f'{version:08x}', 'resources': resources}
        acked = self.store.put('op', 'config', json.dumps(body).encode())
        self.record.note('manifest acked', manifest=version, ver=acked)
        return acked

    async def stop(self):
        for host in self.hosts:
            host.kill()
        await self.client.stop()
        for backend in self.backends:
            await backend.stop()
        await self.store.stop()


def run_case(play, judge, folder):
    """Play a case; return the exit status of its script.

    :param play: coroutine that gets the case.
    :param judge: returns the lines of the verdict and whether the rule broke.
    :param folder: where the record goes.
    """
    return uvloop.run(_run(play, judge, Path(folder)))


async def _run(play, judge, folder):
    # A script that is ended from outside ends its processes, too.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    with tempfile.TemporaryDirectory(prefix='crocus-review-') as temporary:
        case = Case(temporary)
        status = NOT_RUN
        try:
            async with asyncio.timeout(MAX_RUN_S):
                await play(case)
            lines, is_broken = judge(case)
            for line in lines:
                case.record.note('verdict', text=line)
                print(line)
            status = BROKEN if is_broken else HELD
        except Exception:
            traceback.print_exc()
        finally:
            await case.stop()
            case.record.note('verdict', text=f'exit status {status}')
            case.record.write(folder / 'record.txt')
            kept = os.environ.get('KEEP_LOGS')
            if kept:
                for log in Path(temporary).glob('*.log'):
                    (Path(kept) / log.name).write_bytes(log.read_bytes())
        return status


def main(play, judge, file):
    sys.exit(run_case(play, judge, Path(file).parent))
