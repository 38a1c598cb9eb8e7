"""Runs hosts under faults drawn from seeds, and checks the promises.

Usage:
  crocus-soak [--seed=N] [--seeds=N] [--seconds=S] [--hosts=N] [--servers=N]
              [--kind=KIND]... [--workdir=DIR]
  crocus-soak --list
  crocus-soak --help

Options:
  --seed=N       First seed [default: 1].
  --seeds=N      How many seeds, one after the other [default: 1].
  --seconds=S    Length of each, the start not counted [default: 25].
  --hosts=N      Hosts, each a process [default: 4].
  --servers=N    Backend servers of a pool [default: 5].
  --kind=KIND    Only faults of these kinds; all without it.
  --workdir=DIR  Keep settings files and logs of the hosts here.
  --list         Print the kinds of faults.
  --help         Show this text.

Each seed prints a JSON line. Exit status: 0 every promise was kept, 1 one was
broken, 2 wrong input.
"""

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Any

import msgspec
from docopt import docopt

from crocusshunt.logs import start_logging
from crocusshunt.soak import SoakResult, SoakSettings, list_faults, run_soak

_EXIT_BROKEN = 1
_EXIT_INPUT = 2


def main() -> None:
    """Run the seeds and print what they found."""
    arguments = docopt(__doc__ or '')
    if arguments['--list']:
        print('\n'.join(list_faults()))
        return
    start_logging(stream=sys.stderr)
    settings = _read(arguments)
    unknown = set(settings.kinds) - set(list_faults())
    if unknown:
        print(f'unknown kinds: {sorted(unknown)}', file=sys.stderr)
        sys.exit(_EXIT_INPUT)
    ended = [
        _run(msgspec.structs.replace(settings, seed=seed))
        for seed in range(settings.seed, settings.seed + settings.seeds)
    ]
    if any(one.violations for one in ended):
        sys.exit(_EXIT_BROKEN)


class _Arguments(msgspec.Struct, frozen=True):
    seed: int
    seeds: int
    seconds: float
    hosts: int
    servers: int
    kinds: tuple[str, ...]
    workdir: str


def _read(arguments: dict[str, Any]) -> _Arguments:
    given = {
        'seed': arguments['--seed'],
        'seeds': arguments['--seeds'],
        'seconds': arguments['--seconds'],
        'hosts': arguments['--hosts'],
        'servers': arguments['--servers'],
        'kinds': arguments['--kind'] or list_faults(),
        'workdir': arguments['--workdir'] or '',
    }
    try:
        return msgspec.convert(given, _Arguments, strict=False)
    except msgspec.ValidationError as error:
        print(error, file=sys.stderr)
        sys.exit(_EXIT_INPUT)


def _run(arguments: _Arguments) -> SoakResult:
    with tempfile.TemporaryDirectory() as scratch:
        workdir = Path(arguments.workdir or scratch) / str(arguments.seed)
        workdir.mkdir(parents=True, exist_ok=True)
        ended = asyncio.run(
            run_soak(
                SoakSettings(
                    seed=arguments.seed,
                    seconds=arguments.seconds,
                    hosts=arguments.hosts,
                    servers=arguments.servers,
                    kinds=arguments.kinds,
                    workdir=str(workdir),
                ),
            ),
        )
    print(msgspec.json.encode(ended).decode(), flush=True)
    return ended


if __name__ == '__main__':
    main()
