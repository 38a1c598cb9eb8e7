"""Runs benchmarks and prints each measurement as one line of JSON.

Usage:
  bench [SUBJECT...]
"""

import pkgutil
from importlib import import_module
from pathlib import Path

from docopt import docopt

from crocusshunt.bench import format_misses, run_benches

_PACKAGE = 'crocusshunt.bench'


def main() -> None:
    """Run the benchmarks of the subjects, then list all missed targets."""
    arguments = docopt(__doc__ or '')
    _import_subjects()
    measurements = []
    for measurement in run_benches(arguments['SUBJECT']):
        print(measurement.describe(), flush=True)
        measurements.append(measurement)
    print(format_misses(measurements))


def _import_subjects() -> None:
    for module in pkgutil.iter_modules([str(Path(__file__).parent)]):
        if not module.name.startswith('_') and module.name != 'tests':
            import_module(f'{_PACKAGE}.{module.name}')


if __name__ == '__main__':
    main()
