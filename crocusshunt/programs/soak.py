"""Runs hosts under random faults and checks the invariants of the system.

Usage:
  crocus-soak [--seed=N] [--seeds=N] [--seconds=S] [--hosts=N] [--servers=N]
              [--kind=KIND]... [--workdir=DIR]
  crocus-soak --list
  crocus-soak --help

Options:
  --seed=N       First seed of the random faults [default: 1].
  --seeds=N      Number of runs, with consecutive seeds [default: 1].
  --seconds=S    Length of each run, not counting its start [default: 25].
  --hosts=N      Number of hosts, one process each [default: 4].
  --servers=N    Backend servers per pool [default: 5].
  --kind=KIND    Inject only faults of this kind; all kinds if not given.
  --workdir=DIR  Keep settings files and logs of the hosts here.
  --list         Print the kinds of faults and exit.
  --help         Show this text.

Each run prints its result as a line of JSON. Exit status: 0 every invariant
held, 1 one was violated, 2 wrong input.
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

_EXIT_VIOLATED = 1
_EXIT_WRONG_INPUT = 2


def main() -> None:
    """Run once per seed and print the results."""
    arguments = docopt(__doc__ or '')
    if arguments['--list']:
        print('\n'.join(list_faults()))
        return
    start_logging(stream=sys.stderr)
    settings = _parse_arguments(arguments)
    unknown = set(settings.kinds) - set(list_faults())
    if unknown:
        print(f'unknown kinds of faults: {sorted(unknown)}', file=sys.stderr)
        sys.exit(_EXIT_WRONG_INPUT)
    soak_results = [
        _run(msgspec.structs.replace(settings, seed=seed))
        for seed in range(settings.seed, settings.seed + settings.seeds)
    ]
    if any(soak_result.violations for soak_result in soak_results):
        sys.exit(_EXIT_VIOLATED)


class _Arguments(msgspec.Struct, frozen=True):
    seed: int
    seeds: int
    seconds: float
    hosts: int
    servers: int
    kinds: tuple[str, ...]
    workdir: str


def _parse_arguments(arguments: dict[str, Any]) -> _Arguments:
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
        sys.exit(_EXIT_WRONG_INPUT)


def _run(arguments: _Arguments) -> SoakResult:
    with tempfile.TemporaryDirectory() as scratch:
        workdir = Path(arguments.workdir or scratch) / str(arguments.seed)
        workdir.mkdir(parents=True, exist_ok=True)
        soak_result = asyncio.run(
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
    print(msgspec.json.encode(soak_result).decode(), flush=True)
    return soak_result


if __name__ == '__main__':
    main()
