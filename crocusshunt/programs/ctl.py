"""Reads and changes the tables that steer traffic.

Usage:
  crocusctl [options] validate DIR
  crocusctl [options] plan DIR
  crocusctl [options] apply DIR --reason=TEXT [--change-id=ID]
  crocusctl [options] get [TABLE]
  crocusctl [options] history
  crocusctl [options] key grant NAME CUSTOMER --reason=TEXT
  crocusctl [options] key withdraw NAME --reason=TEXT
  crocusctl [options] drain SERVER --reason=TEXT
  crocusctl [options] undrain SERVER --reason=TEXT
  crocusctl [options] status
  crocusctl --help

Options:
  --api=URL   Operators' interface [default: http://127.0.0.1:8700].
  --key=FILE  File that holds the operator's key [default: operator.key].
  --json      Print JSON instead of tables.
  --help      Show this text.

Exit status: 0 done, 1 refused, 2 wrong input, 3 outcome unknown: repeat the
command with the same change id.
"""

import asyncio
import sys

from docopt import docopt

from crocusshunt.ctl import run_command


def main() -> None:
    """Run one command and exit with its status."""
    arguments = docopt(__doc__ or '')
    sys.exit(asyncio.run(run_command(arguments)))
