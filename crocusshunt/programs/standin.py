"""Runs stand-ins for the platform and for the declared backend servers.

Usage:
  crocus-standin --settings=FILE
  crocus-standin --help

Options:
  --settings=FILE  INI file, see docs/operators/settings.md.
  --help           Show this text.
"""

import sys
from pathlib import Path

from result import Err

from crocusshunt.declarations import read_declarations
from crocusshunt.programs._startup import EXIT_INVALID_SETTINGS, start_program
from crocusshunt.routing import Server, Tables
from crocusshunt.standin import (
    PlatformService,
    StandinSettings,
    create_backends,
)
from crocusshunt.web import run_services


def main() -> None:
    """Run the stand-ins until SIGTERM or SIGINT."""
    settings = start_program(__doc__ or '', StandinSettings)
    section = settings.standin
    tables = _read_tables(section.declarations)
    run_services(
        PlatformService(section.address, section.port),
        *create_backends(tables.select(Server)),
    )


def _read_tables(directory: str) -> Tables:
    if not directory:
        return Tables()
    tables = read_declarations(Path(directory))
    if isinstance(tables, Err):
        print(tables.err_value.describe(), file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    return tables.ok_value
